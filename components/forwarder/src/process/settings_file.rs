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

    /// Waits until the settings have changed, and returns them; invalid settings are ignored.
    pub(crate) async fn changed(&mut self, reload: &mut Signal) -> FlowSettings {
        loop {
            let signal = tokio::select! {
                _ = reload.recv() => true,
                () = sleep(CHECK_INTERVAL) => false,
            };
            match read_flow_settings(&self.path) {
                Ok(settings) if settings != self.current => {
                    info!(signal, "settings reloaded");
                    self.current = settings;
                    return self.current.clone();
                }
                Ok(_) if signal => info!("settings read again; nothing changed"),
                Ok(_) => {}
                Err(error) => warn!(%error, signal, "settings not reloaded"),
            }
        }
    }
}
