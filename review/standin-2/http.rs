//! A small HTTP/1.1 server and client for the stand-ins, with one thread for each connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The three words of the first line.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

fn ended(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        let length = self.stream.read(&mut buffer)?;
        if length == 0 {
            return Err(ended("the connection ended"));
        }
        self.ahead.extend_from_slice(&buffer[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_more()?;
        }
    }

    /// Reads a head. Fails if the connection ends before it, also without a byte.
    pub fn head(&mut self) -> io::Result<Head> {
        let line = self.line()?;
        let mut words = line.splitn(3, ' ').map(str::to_owned);
        let mut word = || words.next().unwrap_or_default();
        let mut head = Head { first: [word(), word(), word()], headers: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.read_more()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads the body that belongs to a head, whole. A body with neither length nor chunks is empty in a request.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            let mut whole = Vec::new();
            loop {
                let size = self.line()?;
                let digits = size.split(';').next().unwrap_or_default().trim().to_owned();
                let size = usize::from_str_radix(&digits, 16).map_err(|_| ended("a bad chunk"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(whole);
                }
                whole.extend(self.exact(size)?);
                self.exact(2)?;
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        self.exact(length.unwrap_or(0))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text =
            format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.send(text.as_bytes())
    }
}

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The status; 0 if no head of an answer came.
    pub status: u16,
    pub head: Head,
    /// The body, whole, or what came of it.
    pub body: Vec<u8>,
    pub is_whole: bool,
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(address: &str, request: &[u8], time: Duration) -> Seen {
    let mut seen = Seen { status: 0, head: Head::default(), body: Vec::new(), is_whole: false };
    let Ok(address) = address.parse() else { return seen };
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return seen;
    };
    let _ = stream.set_read_timeout(Some(time));
    let mut connection = Connection::new(stream);
    if connection.send(request).is_err() {
        return seen;
    }
    let Ok(head) = connection.head() else { return seen };
    seen.status = head.status();
    if let Ok(body) = connection.body(&head) {
        seen.body = body;
        seen.is_whole = true;
    }
    seen.head = head;
    seen
}
