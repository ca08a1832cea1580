//! Answers to control connections.

use std::{
    future::Future,
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

/// Control connections served at once; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 64;
/// Longest time between two requests on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a peer may take to read an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that a lack of file descriptors doesn't spin the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves control connections until the task is dropped, each request by `answer`.
pub async fn serve_control<F, A>(listener: TcpListener, key: TunnelKey, answer: F)
where
    F: Fn(ControlMessage) -> A + Send + Sync + 'static,
    A: Future<Output = ControlMessage> + Send,
{
    let answer = Arc::new(answer);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(%error, "control connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let key = key.clone();
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve_connection(stream, key, &*answer).await {
                debug!(%peer, %error, "control connection failed");
            }
        });
    }
}

/// Asks `actor` for the answer to a control request; an actor that can't give one has nothing.
pub async fn ask_actor<M: Message>(
    actor: &ActorRef<M>,
    ask: impl FnOnce(RpcReplyPort<ControlMessage>) -> M,
) -> ControlMessage {
    match actor.call(ask, None).await {
        Ok(CallResult::Success(answer)) => answer,
        _ => ControlMessage::new(ControlBody::Nothing(Nothing {})),
    }
}

async fn serve_connection<F, A>(
    mut stream: TcpStream,
    key: TunnelKey,
    answer: &F,
) -> Result<(), carobdrum_wire::FrameError>
where
    F: Fn(ControlMessage) -> A,
    A: Future<Output = ControlMessage>,
{
    let challenge: [u8; CHALLENGE_LEN] = rand::random();
    stream.write_all(&challenge).await?;
    let codec = FrameCodec::new(&key, &challenge, FrameRole::Server);
    let mut framed = Framed::new(stream, codec);
    while let Ok(Some(request)) = timeout(IDLE_TIMEOUT, framed.next()).await {
        let reply = answer(request?).await;
        let sent = timeout(ANSWER_TIMEOUT, framed.send(reply)).await;
        sent.map_err(std::io::Error::from)??;
    }
    Ok(())
}
