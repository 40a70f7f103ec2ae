//! Ports that are in use when a gateway starts.

use super::process::Gateway;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

/// Time within which a node must have started once all its ports are free.
const STARTS_WITHIN: Duration = Duration::from_secs(1);
/// Time for which a port is in use at least.
const IN_USE_FOR: Duration = Duration::from_millis(500);

/// The settings of addresses, in the order of their names here.
const PURPOSES: [&str; 5] = ["callers", "readiness", "metrics", "peers", "tunnels"];

/// A port that is in use for TCP and UDP until it is dropped.
struct TakenPort {
    address: SocketAddr,
    _tcp: TcpListener,
    _udp: UdpSocket,
}

impl TakenPort {
    fn take(port: u16) -> Option<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        Some(Self {
            address,
            _tcp: TcpListener::bind(address).ok()?,
            _udp: UdpSocket::bind(address).ok()?,
        })
    }
}

/// Takes a port for each purpose, outside the range from which other tests get ports.
fn take_ports() -> Vec<TakenPort> {
    let first = 15_000 + (std::process::id() % 500) as u16 * 20;
    let taken = (first..).filter_map(TakenPort::take);
    taken.take(PURPOSES.len()).collect()
}

fn addresses(ports: &[TakenPort]) -> Vec<SocketAddr> {
    ports.iter().map(|port| port.address).collect()
}

fn listen_section(addresses: &[SocketAddr]) -> String {
    let mut text = String::new();
    for (purpose, address) in PURPOSES.iter().zip(addresses) {
        let _ = writeln!(text, "{purpose} = \"{address}\"");
    }
    text
}

// Guards against a node that ends for good because one of its ports was taken for a moment, by any
// program, when it started.
#[test]
fn a_node_whose_port_is_in_use_starts_once_the_port_is_free() {
    for (number, purpose) in PURPOSES.iter().enumerate() {
        let mut ports = take_ports();
        let listen = listen_section(&addresses(&ports));
        let taken = ports.swap_remove(number);
        drop(ports);
        let gateway = Gateway::start(&format!("port-in-use-{number}"), &listen);
        gateway.wait_for_line("port in use, trying again");
        std::thread::sleep(IN_USE_FOR);
        assert!(!gateway.log().contains("\"msg\":\"started\""));
        drop(taken);
        let after = gateway.wait_for_line("started");
        assert!(after < STARTS_WITHIN, "{purpose}: {after:?}");
    }
}

#[test]
fn a_node_that_waits_for_a_port_stops_on_a_signal() {
    let ports = take_ports();
    let listen = listen_section(&addresses(&ports));
    let mut gateway = Gateway::start("stopped-while-waiting", &listen);
    gateway.wait_for_line("port in use, trying again");
    gateway.signal("-TERM");
    assert!(gateway.wait().success());
}

// Guards against waiting for what can't come true, and against an end without a log line.
#[test]
fn a_node_whose_address_is_not_of_this_machine_ends_at_once() {
    // TEST-NET-1, which no machine has.
    let listen = "callers = \"192.0.2.1:1\"\nreadiness = \"127.0.0.1:0\"\n";
    let mut gateway = Gateway::start("foreign-address", listen);
    assert_eq!(gateway.wait().code(), Some(1));
    gateway.wait_for_line("cannot listen");
}
