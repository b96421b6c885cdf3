//! HTTP/1.1 with one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that a stand-in has received.
#[derive(Debug, Clone)]
pub struct Call {
    /// The path without its query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| decode(value))
    }

    /// Returns a whole number of the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }
}

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(status: u16, body: String) -> Self {
        Self {
            status,
            body: body.into_bytes(),
        }
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Serves requests at an address until the process ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Call) -> Answer + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = serve_connection(&stream, handle.as_ref());
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, handle: &dyn Fn(Call) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let target = words.nth(1).unwrap_or_default().to_owned();
        let headers = read_headers(&mut reader)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut call = Call {
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body: Vec::new(),
        };
        let length = call
            .header("content-length")
            .and_then(|one| one.parse().ok());
        call.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut call.body)?;
        let answer = handle(call);
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&answer.body);
        (&mut &*stream).write_all(&bytes)?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Sends a request on a connection of its own, and returns the status and the body.
pub fn request(
    address: SocketAddr,
    method: &str,
    target: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    (&stream).write_all(head.as_bytes())?;
    (&stream).write_all(body.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|one| one.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut reader)?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
