//! Parsing of settings files.

use std::path::Path;

use carobdrum_core::{
    FieldSchema,
    FileFault,
    ParsedFile, //
};
use serde::de::DeserializeOwned;

use crate::{
    agent_settings::AGENT_SCHEMA,
    balancer_settings::BALANCER_SCHEMA,
    bounded_file::read_bounded,
    flow_settings::FLOW_SCHEMA,
    settings_error::FaultySnafu,
    AgentSettings,
    BalancerSettings,
    FlowSettings,
    SettingsError, //
};

/// Longest settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// Reads and checks the settings file of a balancer, and the files that it names.
///
/// Relative file names are resolved against the folder of the settings file.
///
/// # Errors
///
/// Returns [`SettingsError::Faulty`] with all faults, and other errors if `path` can't be read.
pub fn read_balancer(path: &Path) -> Result<BalancerSettings, SettingsError> {
    let check = |settings: &mut BalancerSettings, folder: &Path, file: &mut ParsedFile| {
        settings.resolve(folder);
        settings.check(file);
    };
    read_checked(path, BALANCER_SCHEMA, check)
}

/// Reads and checks the settings file of an agent, and the files that it names.
///
/// Relative file names are resolved against the folder of the settings file.
///
/// # Errors
///
/// Returns [`SettingsError::Faulty`] with all faults, and other errors if `path` can't be read.
pub fn read_agent(path: &Path) -> Result<AgentSettings, SettingsError> {
    let check = |settings: &mut AgentSettings, folder: &Path, file: &mut ParsedFile| {
        settings.resolve(folder);
        settings.check(file);
    };
    read_checked(path, AGENT_SCHEMA, check)
}

/// Reads and checks the settings file of a process that forwards opaque flows.
///
/// # Errors
///
/// Returns [`SettingsError::Faulty`] with all faults, and other errors if `path` can't be read.
pub fn read_flow_settings(path: &Path) -> Result<FlowSettings, SettingsError> {
    let check = |settings: &mut FlowSettings, _: &Path, file: &mut ParsedFile| {
        settings.flows.check(file);
    };
    read_checked(path, FLOW_SCHEMA, check)
}

/// Parses the content of the settings file of a process that forwards opaque flows.
///
/// # Errors
///
/// Returns all faults of the content.
pub fn parse_flow_settings(bytes: &[u8]) -> Result<FlowSettings, Vec<FileFault>> {
    let mut file = ParsedFile::read(bytes, MAX_SETTINGS_BYTES, FLOW_SCHEMA);
    let settings: Option<FlowSettings> = file.value();
    if let Some(settings) = &settings {
        settings.flows.check(&mut file);
    }
    file.finish(settings)
}

fn read_checked<S: DeserializeOwned>(
    path: &Path,
    schema: &'static [FieldSchema],
    check: impl FnOnce(&mut S, &Path, &mut ParsedFile),
) -> Result<S, SettingsError> {
    let bytes = read_bounded(path, MAX_SETTINGS_BYTES)?;
    let mut file = ParsedFile::read(&bytes, MAX_SETTINGS_BYTES, schema);
    let mut settings: Option<S> = file.value();
    if let Some(settings) = &mut settings {
        let folder = path.parent().unwrap_or(Path::new(""));
        check(settings, folder, &mut file);
    }
    match file.finish(settings) {
        Ok(settings) => Ok(settings),
        Err(faults) => FaultySnafu { path, faults }.fail(),
    }
}
