//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that was received whole.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        let body = body.to_string().into_bytes();
        Self { status, body }
    }
}

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let serving = thread::Builder::new().stack_size(256 * 1024);
            // A connection that can't be served is closed.
            drop(serving.spawn(move || drop(serve_connection(stream, &*handler))));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let (line, headers) = read_head(&mut reader)?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut request = Request {
            method,
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (name.to_owned(), decode(value)))
                .collect(),
            headers,
            body: Vec::new(),
        };
        request.body = read_body(&mut reader, &request.headers)?;
        let answer = handler(request);
        let mut bytes = format!(
            "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&answer.body);
        writer.write_all(&bytes)?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Result<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Result<Vec<u8>> {
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Decodes the percent signs of a query.
fn decode(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits: String = bytes.by_ref().take(2).map(char::from).collect();
            decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Makes a call on a connection of its own. Returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
    Ok((status, read_body(&mut reader, &headers)?))
}
