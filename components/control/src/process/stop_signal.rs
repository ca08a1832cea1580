//! Signals that start a graceful shutdown.

use std::io;

use tokio::signal::unix::{
    signal,
    SignalKind, //
};

/// Blocks until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the error of the operating system if the runtime can't be created or the signal
/// handlers can't be installed.
pub fn wait_for_stop() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
