//! The settings file while the process runs.

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

/// Time between looks at the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The settings file of a process, and what was last read of it.
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
    /// Returns faults of the settings.
    pub fn read(path: impl Into<PathBuf>) -> Result<SettingsFile, SettingsError> {
        let path = path.into();
        let current = read_flow_settings(&path)?;
        Ok(SettingsFile { path, current })
    }

    /// Returns what was last read.
    pub fn current(&self) -> &FlowSettings {
        &self.current
    }

    /// Waits until the settings have changed; settings that can't be read are left out.
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
                Ok(_) if signal => info!("settings read again, unchanged"),
                Ok(_) => {}
                Err(error) => warn!(%error, signal, "new settings left out"),
            }
        }
    }
}
