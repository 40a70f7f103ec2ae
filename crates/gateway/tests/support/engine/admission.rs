//! A limit on the connections that the engine admits.

use super::{Shared, StandInEngine};
use smol::net::TcpStream;
use socket2::SockRef;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The connections that an engine counts.
pub struct Admission {
    limit: AtomicUsize,
    open: AtomicUsize,
    /// Connections of machines that lost power.
    former: AtomicUsize,
    rejected: AtomicUsize,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: AtomicUsize::new(usize::MAX),
            open: AtomicUsize::new(0),
            former: AtomicUsize::new(0),
            rejected: AtomicUsize::new(0),
        }
    }
}

/// An admitted connection.
pub struct Admitted(Arc<Shared>);

impl Drop for Admitted {
    fn drop(&mut self) {
        self.0.admission.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Admits a connection, or resets it.
pub fn admit(shared: &Arc<Shared>, stream: &TcpStream) -> Option<Admitted> {
    let admission = &shared.admission;
    let open = admission.open.load(Ordering::Acquire) + admission.former.load(Ordering::Acquire);
    if open >= admission.limit.load(Ordering::Acquire) {
        admission.rejected.fetch_add(1, Ordering::AcqRel);
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        return None;
    }
    admission.open.fetch_add(1, Ordering::AcqRel);
    Some(Admitted(Arc::clone(shared)))
}

impl StandInEngine {
    /// Resets connections beyond this number. Connections of machines that lost power, `former`,
    /// count as open.
    pub fn limit_connections(&self, limit: usize, former: usize) {
        let admission = &self.shared.admission;
        admission.limit.store(limit, Ordering::Release);
        admission.former.store(former, Ordering::Release);
    }

    /// Number of connections that were reset because of the limit.
    pub fn rejected_connections(&self) -> usize {
        self.shared.admission.rejected.load(Ordering::Acquire)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.admission.open.load(Ordering::Acquire)
    }
}
