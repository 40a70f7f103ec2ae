//! An engine that refuses new connections while its open ones go on.

use super::StandInEngine;
use ploverlift_gateway::time::sleep;
use smol::net::TcpStream;
use socket2::SockRef;
use std::net::Shutdown;
use std::sync::atomic::Ordering;

/// What an engine does with its idle connections when it stops listening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnections {
    LeftOpen,
    Closed,
}

impl StandInEngine {
    /// Refuses new connections from now on, while requests that have begun go on: the engine
    /// leaves in order, or is at its limit of connections.
    pub async fn stop_listening(&self, idle: IdleConnections) {
        let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        while TcpStream::connect(self.address).await.is_ok() {}
        if idle == IdleConnections::Closed {
            self.close_idle();
        }
    }

    /// Closes the idle connections, as after an idle time-out.
    pub fn close_idle(&self) {
        self.shared.idle_closed.notify(usize::MAX);
    }

    /// Closes the connections on which it runs requests.
    pub fn close_running(&self) {
        self.shared.running_closed.notify(usize::MAX);
    }

    /// Terminates the engine; its idle connections end this many milliseconds after the others, and
    /// it serves none of them meanwhile.
    pub async fn end_in_turn(&self, idle_later_ms: u64) {
        self.shared.is_killed.store(true, Ordering::Release);
        self.stop_listening(IdleConnections::LeftOpen).await;
        self.close_running();
        sleep(idle_later_ms).await;
        self.end().await;
    }

    /// Number of connections that were accepted.
    pub fn accepted(&self) -> usize {
        self.shared.accepted.load(Ordering::Acquire)
    }
}
