//! A simulated caller.

use super::site;
use ploverlift_http1::{read_response_head, BufferedStream, RequestHead, ResponseHead, Target};
use smol::net::TcpStream;
use std::net::SocketAddr;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Vec<u8>,
}

/// An answer that a caller received.
#[derive(Debug)]
pub struct Answer {
    pub head: ResponseHead,
    pub body: Vec<u8>,
    /// Whether the answer was complete by its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status.get()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request with a valid key.
pub fn request(host: &str, id: &str) -> Request {
    let mut head = RequestHead::new("POST", Target::literal("/work"));
    head.headers.try_push("host", host).expect("a value");
    head.headers.try_push(site::ID, id).expect("a value");
    head.headers.push(site::KEY, "key-a");
    Request {
        head,
        body: b"body".to_vec(),
    }
}

/// A request for a stream of events.
pub fn prompt(host: &str, id: &str) -> Request {
    let mut request = request(host, id);
    request.head.target = Target::literal("/events");
    request.head.headers.push(site::PARTS, "1,2,3");
    request
}

/// Sends a request on a new connection and reads the answer.
pub async fn send(address: SocketAddr, request: &Request) -> Answer {
    let mut connection = open(address, request).await;
    read(&mut connection).await.expect("an answer")
}

/// Sends a request as HTTP/1.0 on a new connection and reads the answer.
pub async fn send_as_http_1_0(address: SocketAddr, request: &Request) -> Answer {
    let message = String::from_utf8(encode(request)).expect("text");
    let message = message.replacen(" HTTP/1.1\r\n", " HTTP/1.0\r\n", 1);
    let mut connection = connect_and_write(address, message.as_bytes()).await;
    read(&mut connection).await.expect("an answer")
}

/// Sends a request and leaves the connection open.
pub async fn open(address: SocketAddr, request: &Request) -> BufferedStream {
    connect_and_write(address, &encode(request)).await
}

async fn connect_and_write(address: SocketAddr, message: &[u8]) -> BufferedStream {
    let stream = TcpStream::connect(address).await.expect("connect");
    let mut connection = BufferedStream::new(stream);
    let _ = connection.write_all(message).await;
    connection
}

/// The bytes of a request on the wire.
pub fn encode(request: &Request) -> Vec<u8> {
    let mut head = request.head.clone();
    head.headers.set("content-length", request.body.len());
    let mut message = head.encode();
    message.extend_from_slice(&request.body);
    message
}

/// Reads an answer; `None` if the connection ends without a head.
pub async fn read(connection: &mut BufferedStream) -> Option<Answer> {
    let read = read_response_head(connection, "POST", 65_536).await;
    let (head, mut decoder) = read.ok()?;
    let mut body = Vec::new();
    let is_whole = loop {
        match decoder.read(connection, &mut body).await {
            Ok(true) => {}
            Ok(false) => break true,
            Err(_) => break false,
        }
    };
    Some(Answer {
        head,
        body,
        is_whole,
    })
}

/// The status of a GET request; 0 without an answer.
pub async fn get_status(address: SocketAddr) -> u16 {
    get(address).await.0
}

/// The status and the body of the answer to a GET request; 0 without an answer.
pub async fn get(address: SocketAddr) -> (u16, String) {
    let Ok(stream) = TcpStream::connect(address).await else {
        return (0, String::new());
    };
    let mut connection = BufferedStream::new(stream);
    let head = RequestHead::new("GET", Target::default());
    if connection.write_all(&head.encode()).await.is_err() {
        return (0, String::new());
    }
    let answer = read(&mut connection).await;
    answer.map_or((0, String::new()), |answer| {
        (answer.status(), answer.text().to_owned())
    })
}
