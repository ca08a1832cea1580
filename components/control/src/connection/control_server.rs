//! Server of control connections.

use std::{
    future::Future,
    pin::pin,
    sync::Arc,
    time::Duration, //
};

use carobdrum_wire::{
    control::{
        ControlBody,
        Nothing, //
    },
    ControlMessage,
    FrameCodec,
    FrameRole,
    TunnelKey,
    CHALLENGE_LEN, //
};
use futures_util::{
    SinkExt,
    StreamExt, //
};
use ractor::{
    rpc::CallResult,
    ActorRef,
    Message,
    RpcReplyPort, //
};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Semaphore,
    time::timeout,
};
use tokio_util::codec::Framed;
use tracing::debug;

/// Maximum number of control connections served at once; further ones wait in the listener's
/// backlog.
const MAX_CONNECTIONS: usize = 64;
/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a peer must read a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, so that the loop doesn't spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves control connections until the task is dropped. `handler` makes the response to each
/// request; its future is dropped if the peer closes the connection before that.
pub async fn serve_control<F, A>(listener: TcpListener, key: TunnelKey, handler: F)
where
    F: Fn(ControlMessage) -> A + Send + Sync + 'static,
    A: Future<Output = ControlMessage> + Send,
{
    let handler = Arc::new(handler);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(%error, "cannot accept control connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let key = key.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve_connection(stream, key, &*handler).await {
                debug!(%peer, %error, "control connection failed");
            }
        });
    }
}

/// Asks `actor` for the response to a control request; returns `Nothing` if the actor doesn't
/// reply.
pub async fn ask_actor<M: Message>(
    actor: &ActorRef<M>,
    ask: impl FnOnce(RpcReplyPort<ControlMessage>) -> M,
) -> ControlMessage {
    match actor.call(ask, None).await {
        Ok(CallResult::Success(response)) => response,
        _ => ControlMessage::new(ControlBody::Nothing(Nothing {})),
    }
}

async fn serve_connection<F, A>(
    mut stream: TcpStream,
    key: TunnelKey,
    handler: &F,
) -> Result<(), carobdrum_wire::FrameError>
where
    F: Fn(ControlMessage) -> A,
    A: Future<Output = ControlMessage>,
{
    let challenge: [u8; CHALLENGE_LEN] = rand::random();
    stream.write_all(&challenge).await?;
    let codec = FrameCodec::new(&key, &challenge, FrameRole::Server);
    let mut framed = Framed::new(stream, codec);
    let mut early = None;
    loop {
        let request = match early.take() {
            Some(request) => request,
            None => match timeout(IDLE_TIMEOUT, framed.next()).await {
                Ok(Some(request)) => request,
                Ok(None) | Err(_) => return Ok(()),
            },
        };
        let mut responding = pin!(handler(request?));
        let response = tokio::select! {
            response = &mut responding => response,
            read = framed.next() => match read {
                None => return Ok(()),
                // A peer may send its next request before it has the response to this one.
                next => {
                    early = next;
                    responding.await
                }
            },
        };
        let sent = timeout(RESPONSE_TIMEOUT, framed.send(response)).await;
        sent.map_err(std::io::Error::from)??;
    }
}
