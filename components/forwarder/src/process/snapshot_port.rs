//! Exchange of snapshots, for processes that can't reach the store.

use std::{
    io,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_wire::snapshot::{
    SiteSnapshot,
    MAX_SNAPSHOT_LEN, //
};
use futures_util::{
    SinkExt,
    StreamExt, //
};
use prost::Message;
use snafu::{
    OptionExt,
    ResultExt,
    Snafu, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};
use tracing::{
    debug,
    warn, //
};

use super::{
    node_error::BindSnafu,
    site_state::SiteState,
    NodeError, //
};

const TRANSFER_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a failed accept, which would otherwise fail again at once while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reason for which a snapshot couldn't be fetched.
#[derive(Debug, Snafu)]
pub(crate) enum FetchError {
    /// The connection couldn't be made, or failed.
    #[snafu(display("connection failed: {source}"))]
    Transfer {
        /// Error of the system.
        source: io::Error,
    },
    /// The peer closed the connection without a snapshot, as it has no configuration.
    #[snafu(display("the peer has no configuration"))]
    Empty,
    /// The snapshot can't be decoded.
    #[snafu(display("malformed snapshot: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
    /// The transfer didn't complete in time.
    #[snafu(display("no snapshot within {TRANSFER_TIMEOUT:?}"))]
    TimedOut,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_SNAPSHOT_LEN);
    Framed::new(stream, codec)
}

/// Listens at `address` and sends a snapshot to each process that connects.
pub(crate) async fn serve_snapshots(
    address: SocketAddrV4,
    state: Rc<SiteState>,
) -> Result<(), NodeError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(BindSnafu { address })?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let Some(snapshot) = state.snapshot() else {
                        continue;
                    };
                    debug!(%from, revision = snapshot.revision, "snapshot sent");
                    tokio::task::spawn_local(send(stream, snapshot));
                }
                Err(error) => {
                    warn!(%error, %address, "connection not accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn send(stream: TcpStream, snapshot: SiteSnapshot) {
    let bytes = Bytes::from(snapshot.encode_to_vec());
    let mut stream = framed(stream);
    match timeout(TRANSFER_TIMEOUT, stream.send(bytes)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "snapshot not sent"),
        Err(_) => debug!("snapshot not sent within the time limit"),
    }
}

/// Fetches the snapshot of a peer.
pub(crate) async fn fetch_snapshot(peer: SocketAddrV4) -> Result<SiteSnapshot, FetchError> {
    let transfer = async {
        let stream = TcpStream::connect(peer).await.context(TransferSnafu)?;
        let frame = framed(stream).next().await;
        let frame = frame.context(EmptySnafu)?.context(TransferSnafu)?;
        SiteSnapshot::decode(frame).context(MalformedSnafu)
    };
    match timeout(TRANSFER_TIMEOUT, transfer).await {
        Ok(outcome) => outcome,
        Err(_) => TimedOutSnafu.fail(),
    }
}
