//! Tasks that pass what happens elsewhere in a daemon to its actor.

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

/// What other tasks and threads of a daemon have found out.
pub enum NewsItem<T> {
    /// News of a traffic thread.
    Traffic(T),
    /// A bulk call has ended.
    Event(MemberEvent),
    /// Entry points found in the store.
    Entries(Vec<SocketAddrV4>),
}

/// Passes each newly published state to `actor`, as the message that `message_of` makes of it.
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

/// Passes news to `actor`, as the message that `message_of` makes of each.
pub async fn feed_news<T, M: Message>(
    mut traffic: mpsc::Receiver<T>,
    mut events: mpsc::UnboundedReceiver<MemberEvent>,
    mut entries: watch::Receiver<Vec<SocketAddrV4>>,
    actor: ActorRef<M>,
    message_of: impl Fn(NewsItem<T>) -> M,
) {
    loop {
        let item = tokio::select! {
            Some(news) = traffic.recv() => NewsItem::Traffic(news),
            Some(event) = events.recv() => NewsItem::Event(event),
            Ok(()) = entries.changed() => {
                NewsItem::Entries(entries.borrow_and_update().clone())
            }
            else => return,
        };
        if actor.cast(message_of(item)).is_err() {
            return;
        }
    }
}

/// Sends `actor` a message at a steady pace.
pub async fn feed_ticks<M: Message>(
    pace: Duration,
    actor: ActorRef<M>,
    message_of: impl Fn() -> M,
) {
    let mut interval = tokio::time::interval(pace);
    loop {
        interval.tick().await;
        if actor.cast(message_of()).is_err() {
            return;
        }
    }
}
