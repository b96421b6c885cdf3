//! Crowds of misbehaving clients.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The largest body that the adapter accepts by default, in bytes.
pub const LEGAL_BODY: usize = 262_144;
/// The number of bytes by which unfinished bodies stop short.
const SHORTFALL: usize = 9;
/// The size of bodies far over the limit, in bytes.
const HUGE_BODY: usize = 4_000_000;
/// The number of pieces of a body that is sent in small pieces.
const PIECES: usize = 400;
/// The time between two small pieces, so that each arrives by itself.
const PIECE_INTERVAL: Duration = Duration::from_millis(2);
/// The number of headers of a request with very many.
const HEADERS: usize = 4000;
/// The number of parameters of a query with very many.
const PARAMETERS: usize = 30_000;
/// The depth of nested lists.
const DEPTH: usize = 100_000;
/// The time for which a client tries to write before it stops.
const WRITE_LIMIT: Duration = Duration::from_millis(1500);
/// The number of pipelined requests in one write.
const PIPELINE: usize = 500;
/// The bytes that a pipelining client sends at most.
const PIPELINE_BYTES: usize = 2_000_000;
/// The time between two bytes of a slow sender.
const SLOW_INTERVAL: Duration = Duration::from_millis(400);

/// The largest headers that the adapter accepts by default, in bytes.
const LEGAL_HEADERS: usize = 16_384;
/// The pause of a slow client within its headers.
const HEADER_PAUSE: Duration = Duration::from_millis(1500);

/// What a client does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// Sends a body of legal size in one piece, and stops just short of its end.
    StopsShort,
    /// Sends a body of legal size in small chunks, and stops half-way.
    SmallChunks,
    /// Sends a body of legal size in small writes, and stops half-way.
    SmallWrites,
    /// Declares a body far over the limit, sends it, and stops just short of its end.
    HugeDeclared,
    /// Sends a body far over the limit in chunks without an end.
    HugeChunked,
    /// Sends very many headers.
    ManyHeaders,
    /// Sends a query of very many parameters.
    ManyParameters,
    /// Sends a body of very many JSON members.
    ManyMembers,
    /// Sends a body of very many JSON objects.
    ManyObjects,
    /// Sends a body of deeply nested lists.
    NestedLists,
    /// Sends requests without reading the responses.
    Pipelined,
    /// Sends a request byte by byte.
    SlowSender,
    /// Connects, and sends nothing.
    Silent,
}

/// A crowd of clients that do the same.
#[derive(Debug, Clone)]
pub struct Crowd {
    /// What each client does.
    pub conduct: Conduct,
    /// The number of clients, each with a connection.
    pub clients: usize,
    /// The address.
    pub address: SocketAddr,
    /// The method and the path of their requests.
    pub target: String,
    /// The host that they name.
    pub host: &'static str,
}

impl Crowd {
    /// Lets all clients send at the same time, and keeps their connections open for a time.
    pub async fn press(self, time: Duration) {
        let mut clients = JoinSet::new();
        for index in 0..self.clients {
            let crowd = self.clone();
            clients.spawn(async move {
                // The daemon may close the connection at any time, or refuse it.
                let Ok(mut stream) = TcpStream::connect(crowd.address).await else {
                    return;
                };
                let sending = crowd.send(&mut stream, index);
                let _ended = timeout(time, sending).await;
                drop(stream);
            });
        }
        clients.join_all().await;
    }

    /// Sends what the client sends, and then waits without reading.
    async fn send(&self, stream: &mut TcpStream, index: usize) {
        self.write(stream, index).await.unwrap_or_default();
        std::future::pending::<()>().await;
    }

    async fn write(&self, stream: &mut TcpStream, index: usize) -> std::io::Result<()> {
        let head = self.head(index);
        match self.conduct {
            Conduct::StopsShort => {
                let mut request = sized(&head, LEGAL_BODY);
                request.resize(request.len() + LEGAL_BODY - SHORTFALL, b' ');
                stream.write_all(&request).await
            }
            Conduct::HugeDeclared => {
                let mut request = sized(&head, HUGE_BODY);
                request.resize(request.len() + HUGE_BODY - SHORTFALL, b' ');
                stream.write_all(&request).await
            }
            Conduct::HugeChunked => {
                stream.write_all(&chunked(&head)).await?;
                let chunk = format!("fa00\r\n{}\r\n", " ".repeat(64_000)).into_bytes();
                for _ in 0..HUGE_BODY / 64_000 {
                    stream.write_all(&chunk).await?;
                }
                Ok(())
            }
            Conduct::SmallChunks => {
                stream.write_all(&chunked(&head)).await?;
                send_pieces(stream, b"1\r\n \r\n").await
            }
            Conduct::SmallWrites => {
                stream.write_all(&sized(&head, LEGAL_BODY)).await?;
                send_pieces(stream, b" ").await
            }
            Conduct::ManyHeaders => {
                let headers: Vec<String> = (0..HEADERS).map(|n| format!("a{n}: b\r\n")).collect();
                let headers = headers.concat();
                stream.write_all((head + &headers).as_bytes()).await
            }
            Conduct::ManyParameters => {
                let query: Vec<String> = (0..PARAMETERS).map(|n| format!("{n}=&")).collect();
                let query = query.concat();
                let request = format!(
                    "{}?{query} HTTP/1.1\r\nHost: {}\r\n\r\n",
                    self.target, self.host
                );
                stream.write_all(request.as_bytes()).await
            }
            Conduct::ManyMembers => send_body(stream, &head, &members()).await,
            Conduct::ManyObjects => send_body(stream, &head, &objects()).await,
            Conduct::NestedLists => send_body(stream, &head, &"[".repeat(DEPTH)).await,
            Conduct::Pipelined => {
                let request = format!(
                    "GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
                    self.path(),
                    self.host
                );
                let requests = request.repeat(PIPELINE);
                let writing = async {
                    for _ in 0..PIPELINE_BYTES / requests.len() {
                        stream.write_all(requests.as_bytes()).await?;
                    }
                    Ok(())
                };
                timeout(WRITE_LIMIT, writing).await.unwrap_or(Ok(()))
            }
            Conduct::SlowSender => {
                for byte in head.as_bytes() {
                    stream.write_all(&[*byte]).await?;
                    sleep(SLOW_INTERVAL).await;
                }
                Ok(())
            }
            Conduct::Silent => Ok(()),
        }
    }

    /// Returns the request line and the host header. Each client has a job id of its own.
    fn head(&self, index: usize) -> String {
        let target = self
            .target
            .replace("ID", &format!("{:016x}", 0xc0de + index));
        format!("{target} HTTP/1.1\r\nHost: {}\r\n", self.host)
    }

    fn path(&self) -> &str {
        self.target.split_once(' ').map_or("/", |(_, path)| path)
    }
}

/// Sends a whole request with a body, and reads the first byte of the answer.
async fn send_body(stream: &mut TcpStream, head: &str, body: &str) -> std::io::Result<()> {
    stream.write_all(&sized(head, body.len())).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.read_u8().await.map(drop)
}

async fn send_pieces(stream: &mut TcpStream, piece: &[u8]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    for _ in 0..PIECES {
        stream.write_all(piece).await?;
        sleep(PIECE_INTERVAL).await;
    }
    Ok(())
}

fn sized(head: &str, length: usize) -> Vec<u8> {
    format!("{head}Content-Length: {length}\r\n\r\n").into_bytes()
}

fn chunked(head: &str) -> Vec<u8> {
    format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes()
}

/// Returns a body of legal size made of as many members as fit.
fn members() -> String {
    let mut body = String::from("{\"spec\":\"\"");
    while body.len() < LEGAL_BODY - 10 {
        body.push_str(",\"a\":[]");
    }
    body + "}"
}

/// Returns a body of legal size made of as many steps as fit.
fn objects() -> String {
    let mut body = String::from("{\"steps\":[{\"count\":1}");
    while body.len() < LEGAL_BODY - 10 {
        body.push_str(",{}");
    }
    body + "]}"
}

/// Submits a job of the largest body, with the largest headers, and returns the status. Each fourth
/// client takes a part of the documented 3 s for its headers.
pub async fn send_legal(address: SocketAddr, host: &str, index: usize) -> std::io::Result<u16> {
    let job = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":10,\"memMb\":1,\"estimateMs\":10}]";
    let body = format!("{job}{}}}", " ".repeat(LEGAL_BODY - job.len() - 1));
    let id = 0xfee_0000 + index;
    let head = format!(
        "POST /listen/{id:016x} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: 20000\r\nContent-Length: {}\r\n",
        body.len()
    );
    let filler = LEGAL_HEADERS - head.len() - "X-Filler: \r\n\r\n".len();
    let head = format!("{head}X-Filler: {}\r\n\r\n", "y".repeat(filler));
    let mut stream = TcpStream::connect(address).await?;
    let (first, second) = head.as_bytes().split_at(LEGAL_HEADERS / 2);
    stream.write_all(first).await?;
    if index.is_multiple_of(4) {
        sleep(HEADER_PAUSE).await;
    }
    stream.write_all(second).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await?;
    let status = String::from_utf8_lossy(&answer[9..]).parse();
    Ok(status.unwrap_or_default())
}
