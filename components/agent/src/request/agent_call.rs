//! Calls of other agents, from the control thread to the traffic thread.

use std::rc::Rc;

use carobdrum_wire::{
    control::{
        ControlBody,
        Nothing,
        RouteTimes,
        RunReply,
        RunRequest, //
    },
    ControlMessage,
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    task::spawn_local,
};

use super::{
    whole_response::HedgeReply,
    RequestHandler, //
};
use crate::process::RunEnd;

/// A call of another agent that the traffic thread answers.
pub(crate) enum AgentCall {
    /// Run a request. The caller drops its end when the other agent closes the connection.
    Run(RunRequest, oneshot::Sender<RunReply>),
    /// Report the response times of the server.
    Times(oneshot::Sender<RouteTimes>),
}

/// Answers a call of another agent on the control thread, or returns the message if it is of
/// another kind. Without `calls`, hedging is off.
pub(crate) async fn answer_agent_call(
    message: ControlMessage,
    calls: Option<&mpsc::Sender<AgentCall>>,
) -> Result<ControlMessage, ControlMessage> {
    let body = match message.body {
        Some(ControlBody::RunRequest(request)) => {
            let reply = ask(calls, |reply| AgentCall::Run(request, reply)).await;
            let reply = reply.unwrap_or_else(|| HedgeReply::Refused.into_reply());
            ControlBody::RunReply(reply)
        }
        Some(ControlBody::FetchTimes(_)) => {
            let times = ask(calls, AgentCall::Times).await;
            times.map_or(ControlBody::Nothing(Nothing {}), ControlBody::RouteTimes)
        }
        _ => return Err(message),
    };
    Ok(ControlMessage::new(body))
}

/// Answers the calls of other agents on the traffic thread.
pub(crate) async fn serve_agent_calls(
    handler: Rc<RequestHandler>,
    mut calls: mpsc::Receiver<AgentCall>,
) {
    while let Some(call) = calls.recv().await {
        match call {
            AgentCall::Run(request, reply) => {
                spawn_local(run_until_closed(Rc::clone(&handler), request, reply));
            }
            AgentCall::Times(reply) => {
                // The send fails if the other agent no longer waits.
                let _ = reply.send(handler.route_times());
            }
        }
    }
}

/// Runs a request until the other agent closes the connection, by which the server's connection is
/// closed, too.
async fn run_until_closed(
    handler: Rc<RequestHandler>,
    request: RunRequest,
    mut reply: oneshot::Sender<RunReply>,
) {
    let response = tokio::select! {
        response = handler.run_for_agent(request) => response,
        () = reply.closed() => {
            handler.parts.metrics.run_for_agent(RunEnd::Cancelled);
            return;
        }
    };
    let _ = reply.send(response.into_reply());
}

/// Returns the reply to a call, or `None` if hedging is off or the traffic thread is busy.
async fn ask<R>(
    calls: Option<&mpsc::Sender<AgentCall>>,
    call: impl FnOnce(oneshot::Sender<R>) -> AgentCall,
) -> Option<R> {
    let (sender, reply) = oneshot::channel();
    calls?.try_send(call(sender)).ok()?;
    reply.await.ok()
}
