//! A process of the gateway.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a log line.
const LONGEST_WAIT: Duration = Duration::from_secs(8);

/// A process of the gateway without a store. It is killed when it is dropped.
pub struct Gateway {
    process: Child,
    log: PathBuf,
}

impl Gateway {
    /// Starts the process with these lines in the section `[listen]` of its settings.
    pub fn start(name: &str, listen: &str) -> Self {
        let folder = std::env::temp_dir();
        let unique = format!("ploverlift-{name}-{}", std::process::id());
        let settings = folder.join(format!("{unique}.toml"));
        let log = folder.join(format!("{unique}.log"));
        let text = format!(
            "[node]\nname = \"n\"\nzone = \"z\"\n[listen]\n{listen}\
             [store]\naddress = \"127.0.0.1:1\"\n[bounds]\nstop_seconds = 8.0\n"
        );
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
        Self { process, log }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits for a log line; returns the time that it took.
    pub fn wait_for_line(&self, message: &str) -> Duration {
        let began = Instant::now();
        let part = format!("\"msg\":\"{message}\"");
        while !self.log().contains(&part) {
            assert!(
                began.elapsed() < LONGEST_WAIT,
                "no line \"{message}\" in:\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        began.elapsed()
    }

    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait().expect("the process ends")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
