//! Settings file that is read again while the process runs.

use std::{
    path::PathBuf,
    time::Duration, //
};

use carobdrum_settings::{
    read_flow_settings,
    FlowSettings,
    SettingsError, //
};
use tokio::{
    signal::unix::Signal,
    time::sleep, //
};
use tracing::{
    info,
    warn, //
};

use super::reload_cause::ReloadCause;

/// Interval between reads of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Settings file of a process, and the settings last read from it.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    current: FlowSettings,
}

impl SettingsFile {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file can't be read or the settings are invalid.
    pub fn read(path: impl Into<PathBuf>) -> Result<SettingsFile, SettingsError> {
        let path = path.into();
        let current = read_flow_settings(&path)?;
        Ok(SettingsFile { path, current })
    }

    /// Returns the last valid settings.
    pub fn current(&self) -> &FlowSettings {
        &self.current
    }

    /// Reads the file again, and returns its settings if they have changed; invalid settings are ignored.
    pub(crate) fn reload(&mut self, cause: ReloadCause) -> Option<FlowSettings> {
        let name = cause.name();
        match read_flow_settings(&self.path) {
            Ok(settings) if settings != self.current => {
                info!(cause = name, "settings reloaded");
                self.current = settings;
                Some(self.current.clone())
            }
            Ok(_) => {
                if cause != ReloadCause::RegularCheck {
                    info!(cause = name, "settings read again; nothing changed");
                }
                None
            }
            Err(error) => {
                warn!(%error, cause = name, "settings not reloaded");
                None
            }
        }
    }

    /// Waits until the settings have changed, and returns them.
    pub(crate) async fn changed(&mut self, signal: &mut Signal) -> FlowSettings {
        loop {
            let cause = next_check(signal).await;
            if let Some(settings) = self.reload(cause) {
                return settings;
            }
        }
    }
}

/// Waits for a signal to read the settings again, at most for the interval of regular checks; returns the
/// cause of the next read.
pub(crate) async fn next_check(signal: &mut Signal) -> ReloadCause {
    tokio::select! {
        _ = signal.recv() => ReloadCause::Signal,
        () = sleep(CHECK_INTERVAL) => ReloadCause::RegularCheck,
    }
}
