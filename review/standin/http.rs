//! Just enough HTTP/1.1 for the stand-ins, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_owned())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(broken("the connection ended"));
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a head; `None` if the connection was closed before one began.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut head = Head { first_line: read_line(reader)?, headers: Vec::new() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| broken("no size of a chunk"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok((size > 0).then_some(data))
}

/// Reads a whole body.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.header("content-length") {
        body = vec![0; length.parse().map_err(|_| broken("no length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Writes a response with a whole body.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Opens a connection within a second, as clients do.
pub fn connect(address: &str) -> io::Result<BufReader<TcpStream>> {
    let address = address.parse().map_err(|_| broken("no address"))?;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}
