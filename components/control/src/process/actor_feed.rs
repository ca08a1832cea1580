//! Tasks that forward events of a daemon's other tasks and threads to its actor.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_core::process::MemberEvent;
use ractor::{
    ActorRef,
    Message, //
};
use tokio::sync::{
    mpsc,
    watch, //
};

use crate::PublishedState;

/// Events of a daemon's other tasks and threads.
pub enum DaemonEvent<T> {
    /// An update from a traffic thread.
    Traffic(T),
    /// A control call has ended, with this event for the membership logic.
    CallCompleted(MemberEvent),
    /// The entry points were read from the store; these are their addresses.
    EntryPoints(Vec<SocketAddrV4>),
}

/// Sends each newly published state to `actor`, converted to a message by `message_of`, until the
/// actor has ended or nothing can be published any more.
pub async fn feed_state<M: Message>(
    mut state: watch::Receiver<PublishedState>,
    actor: ActorRef<M>,
    message_of: impl Fn(PublishedState) -> M,
) {
    while state.changed().await.is_ok() {
        let published = state.borrow_and_update().clone();
        if actor.cast(message_of(published)).is_err() {
            return;
        }
    }
}

/// Sends events to `actor`, converted to messages by `message_of`, until the actor has ended or all
/// sources are closed.
pub async fn feed_events<T, M: Message>(
    mut traffic: mpsc::Receiver<T>,
    mut events: mpsc::UnboundedReceiver<MemberEvent>,
    mut entry_points: watch::Receiver<Vec<SocketAddrV4>>,
    actor: ActorRef<M>,
    message_of: impl Fn(DaemonEvent<T>) -> M,
) {
    loop {
        let item = tokio::select! {
            Some(update) = traffic.recv() => DaemonEvent::Traffic(update),
            Some(event) = events.recv() => DaemonEvent::CallCompleted(event),
            Ok(()) = entry_points.changed() => {
                DaemonEvent::EntryPoints(entry_points.borrow_and_update().clone())
            }
            else => return,
        };
        if actor.cast(message_of(item)).is_err() {
            return;
        }
    }
}

/// Sends `actor` a message every `period`, until the actor has ended.
pub async fn feed_ticks<M: Message>(
    period: Duration,
    actor: ActorRef<M>,
    message_of: impl Fn() -> M,
) {
    let mut interval = tokio::time::interval(period);
    loop {
        interval.tick().await;
        if actor.cast(message_of()).is_err() {
            return;
        }
    }
}
