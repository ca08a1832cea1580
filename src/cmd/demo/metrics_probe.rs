//! Reading of single metrics over HTTP.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

/// Timeout of a request; a daemon on this machine responds within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the value of a metric without labels, or `None` if it can't be read.
pub(super) async fn read_metric(address: SocketAddrV4, name: &str) -> Option<f64> {
    let text = timeout(READ_TIMEOUT, fetch(address)).await.ok()?.ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    line.trim().parse().ok()
}

async fn fetch(address: SocketAddrV4) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /metrics HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}
