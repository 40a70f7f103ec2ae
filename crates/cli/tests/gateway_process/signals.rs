//! Signals to a process of the gateway that stops as planned.

use super::process::Gateway;

fn started(name: &str) -> Gateway {
    let listen = "callers = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\n";
    let gateway = Gateway::start(name, listen);
    gateway.wait_for_line("started");
    gateway
}

// Guards against requests that lose their answers because a supervisor repeats its signal to stop.
#[test]
fn a_planned_stop_goes_on_after_further_signals() {
    let mut gateway = started("repeated-signals");
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
    let mut gateway = started("interrupt");
    gateway.signal("-TERM");
    gateway.wait_for_line("stopping");
    gateway.signal("-INT");
    assert_eq!(gateway.wait().code(), Some(1));
}
