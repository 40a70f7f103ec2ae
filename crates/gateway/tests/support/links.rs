//! Links between one node and one engine each, which a test cuts and heals.

use super::accept_queue::QueueFillers;
use event_listener::Event;
use ploverlift_gateway::callers::bind;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Size of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// All packets are lost: open connections and new ones hang.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// New connections are refused, while open ones live on.
    RefuseNew,
}

struct State {
    cut: Option<Cut>,
    listener: Arc<TcpListener>,
    accepting: Option<smol::Task<()>>,
    queue_fillers: QueueFillers,
}

/// A link between one node and one engine.
pub struct Link {
    /// Address at which the node reaches the engine.
    pub address: SocketAddr,
    engine: SocketAddr,
    state: Mutex<State>,
    changed: Event,
    /// Notified when open connections are to be reset.
    reset: Event,
}

impl Link {
    /// Opens a link to the engine at this address.
    pub fn open(engine: SocketAddr) -> Arc<Self> {
        let listener = Arc::new(bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind"));
        let address = listener.local_addr().expect("address");
        let link = Arc::new(Self {
            address,
            engine,
            state: Mutex::new(State {
                cut: None,
                listener,
                accepting: None,
                queue_fillers: QueueFillers::default(),
            }),
            changed: Event::new(),
            reset: Event::new(),
        });
        link.accept();
        link
    }

    /// Cuts the link.
    pub async fn cut(&self, cut: Cut) {
        let (accepting, listener) = {
            let mut state = self.state.lock().expect("state");
            state.cut = Some(cut);
            (state.accepting.take(), Arc::clone(&state.listener))
        };
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
        match cut {
            Cut::Hang => {
                let fillers = QueueFillers::fill(&listener).await;
                self.state.lock().expect("state").queue_fillers = fillers;
            }
            Cut::Reset | Cut::RefuseNew => {
                let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
            }
        }
        if cut == Cut::Reset {
            self.reset.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Ends a cut.
    pub fn heal(self: &Arc<Self>) {
        let mut state = self.state.lock().expect("state");
        match state.cut.take() {
            None => return,
            Some(Cut::Hang) => {
                let listener = Arc::clone(&state.listener);
                state.queue_fillers.drain(&listener);
            }
            Some(Cut::Reset | Cut::RefuseNew) => {
                state.listener = Arc::new(bind(self.address).expect("bind"));
            }
        }
        drop(state);
        self.accept();
        self.changed.notify(usize::MAX);
    }

    fn accept(self: &Arc<Self>) {
        let link = Arc::clone(self);
        let listener = Arc::clone(&self.state.lock().expect("state").listener);
        let accepting = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(forward(Arc::clone(&link), stream)).detach();
            }
        });
        self.state.lock().expect("state").accepting = Some(accepting);
    }

    fn has(&self, cut: Cut) -> bool {
        self.state.lock().expect("state").cut == Some(cut)
    }

    async fn until_passing(&self) {
        loop {
            let changed = self.changed.listen();
            if !self.has(Cut::Hang) {
                return;
            }
            changed.await;
        }
    }
}

/// Forwards a connection until both sides have ended it, or either one or the link has reset it.
async fn forward(link: Arc<Link>, node: TcpStream) {
    let cut = link.reset.listen();
    if link.has(Cut::Reset) {
        return reset(node);
    }
    let Ok(engine) = TcpStream::connect(link.engine).await else {
        return reset(node);
    };
    let requests = copy(&link, node.clone(), engine.clone());
    let answers = copy(&link, engine.clone(), node.clone());
    let copying = smol::future::try_zip(requests, answers);
    let is_reset = smol::future::or(async { copying.await.is_err() }, async {
        cut.await;
        true
    });
    if is_reset.await {
        reset(node);
        reset(engine);
    }
}

async fn copy(link: &Link, mut from: TcpStream, mut to: TcpStream) -> std::io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        link.until_passing().await;
        if count == 0 {
            // The other side may already be closed.
            let _ = to.shutdown(Shutdown::Write);
            return Ok(());
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Closes a connection by a reset. The stream must be its last handle: a shutdown would end the
/// connection regularly.
fn reset(stream: TcpStream) {
    // An error means that the connection is already closed.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}
