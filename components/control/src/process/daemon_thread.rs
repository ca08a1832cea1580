//! Threads of a daemon.

use std::{
    fmt::Display,
    future::Future,
    io,
    thread::JoinHandle, //
};

use tokio::task::LocalSet;
use tracing::error;

/// Starts a thread with its own single-threaded runtime, which runs the future that `work` returns
/// and ends with it. An error of the future is logged.
///
/// # Errors
///
/// Returns the error of the operating system if the runtime or the thread can't be created.
pub fn spawn_thread<W, F, E>(name: impl Into<String>, work: W) -> io::Result<JoinHandle<()>>
where
    W: FnOnce() -> F + Send + 'static,
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let name = name.into();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = name.clone();
    std::thread::Builder::new().name(name).spawn(move || {
        let local = LocalSet::new();
        if let Err(error) = local.block_on(&runtime, work()) {
            error!(thread, %error, "thread ended with an error");
        }
    })
}
