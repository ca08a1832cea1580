//! The little of HTTP/1.1 that the stand-ins need.

use std::net::SocketAddrV4;

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{tcp::OwnedReadHalf, TcpStream},
};

/// A request, or a response with its status in `path`.
pub struct Message {
    pub path: String,
    pub body: Vec<u8>,
}

/// Reads a message; returns `None` at the end of the connection.
pub async fn read(reader: &mut BufReader<OwnedReadHalf>) -> Option<Message> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .await
        .ok()
        .filter(|len| *len > 0)?;
    let mut words = line.split_whitespace().map(str::to_owned);
    let path = words.nth(1)?;
    let mut len = 0;
    loop {
        let mut header = String::new();
        reader
            .read_line(&mut header)
            .await
            .ok()
            .filter(|len| *len > 0)?;
        if header.trim().is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).await.ok()?;
    Some(Message { path, body })
}

/// Returns the bytes of a response.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!(
        "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n{headers}Content-Length: {len}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Makes a call on a connection of its own; returns the status.
pub async fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (reader, mut writer) = stream.into_split();
    let len = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {len}\r\n\r\n{body}"
    );
    writer.write_all(request.as_bytes()).await.ok()?;
    let response = read(&mut BufReader::new(reader)).await?;
    response.path.parse().ok()
}
