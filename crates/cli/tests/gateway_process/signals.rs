//! Signals to a process of the gateway that stops as planned.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Bound on the stop in the settings; the process ends well within it.
const STOP_BOUND: Duration = Duration::from_secs(8);

/// A process of the gateway without a store. It is killed when it is dropped.
struct Gateway {
    process: Child,
    log: PathBuf,
}

impl Gateway {
    /// Starts the process and waits until it handles signals.
    fn start(name: &str) -> Self {
        let folder = std::env::temp_dir();
        let unique = format!("ploverlift-{name}-{}", std::process::id());
        let settings = folder.join(format!("{unique}.toml"));
        let log = folder.join(format!("{unique}.log"));
        let text = "[node]\nname = \"n\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:0\"\n\
                    readiness = \"127.0.0.1:0\"\n[store]\naddress = \"127.0.0.1:1\"\n\
                    [bounds]\nstop_seconds = 8.0\n";
        std::fs::write(&settings, text).expect("write the settings");
        let output = File::create(&log).expect("create the log");
        let process = Command::new(env!("CARGO_BIN_EXE_ploverlift"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .stdin(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        let gateway = Self { process, log };
        gateway.wait_for_line("started");
        gateway
    }

    fn wait_for_line(&self, message: &str) {
        let until = Instant::now() + STOP_BOUND;
        let part = format!("\"msg\":\"{message}\"");
        while !std::fs::read_to_string(&self.log).is_ok_and(|log| log.contains(&part)) {
            assert!(Instant::now() < until, "no line \"{message}\"");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn wait(&mut self) -> ExitStatus {
        self.process.wait().expect("the process ends")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

// Guards against requests that lose their answers because a supervisor repeats its signal to stop.
#[test]
fn a_planned_stop_goes_on_after_further_signals() {
    let mut gateway = Gateway::start("repeated-signals");
    gateway.signal("-TERM");
    gateway.wait_for_line("stopping");
    for signal in ["-TERM", "-HUP", "-TERM"] {
        gateway.signal(signal);
    }
    assert!(gateway.wait().success());
    gateway.wait_for_line("stopped");
}

#[test]
fn an_interrupt_ends_a_process_that_stops() {
    let mut gateway = Gateway::start("interrupt");
    gateway.signal("-TERM");
    gateway.wait_for_line("stopping");
    gateway.signal("-INT");
    assert_eq!(gateway.wait().code(), Some(1));
}
