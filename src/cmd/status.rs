//! The command `status`.

use carobdrum_control::{
    call_control,
    decode_records, //
};
use carobdrum_core::{
    process::{
        MemberRecord,
        MemberRole,
        MemberState,
        BUCKETS, //
    },
    version::ConfigVersion,
    OneLine, //
};
use carobdrum_settings::read_secret;
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchVersion,
        SyncMembers, //
    },
    ControlMessage,
    TunnelKey, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use snafu::ResultExt;

use crate::{
    cli::StatusArgs,
    cmd::{
        print,
        tables::summarise, //
    },
    command_error::{
        CommandError,
        ControlSnafu,
        MalformedVersionSnafu,
        RuntimeSnafu,
        SettingsSnafu, //
    }, //
};

/// Warm-up level of a warm agent, in the unit of its member record.
const FULL_WARMUP_LEVEL: u32 = 255;

/// Prints the configuration version in force at a process and, if requested, its member list.
///
/// # Errors
///
/// Returns [`CommandError::Settings`] if the secret can't be read, [`CommandError::Control`] if a
/// request fails, and [`CommandError::MalformedVersion`] if the version can't be parsed.
pub(crate) fn run(args: &StatusArgs) -> Result<(), CommandError> {
    let secret = read_secret(&args.secret_file).context(SettingsSnafu)?;
    let key = TunnelKey::new(&secret);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let mut text = runtime.block_on(describe_version(args, &key))?;
    if args.members {
        text.push_str(&runtime.block_on(describe_members(args, &key))?);
    }
    print(text.as_bytes())
}

async fn describe_version(
    args: &StatusArgs,
    key: &TunnelKey,
) -> Result<CompactString, CommandError> {
    let request = ControlMessage::new(ControlBody::FetchVersion(FetchVersion { known_version: 0 }));
    let response = call_control(args.address, key, request).await;
    let Some(ControlBody::Version(found)) = response.context(ControlSnafu)?.body else {
        return Ok("no version in force\n".into());
    };
    let address = args.address;
    let version: ConfigVersion =
        serde_json::from_slice(&found.document).context(MalformedVersionSnafu { address })?;
    Ok(format_compact!("{}\n", summarise(&version)))
}

async fn describe_members(
    args: &StatusArgs,
    key: &TunnelKey,
) -> Result<CompactString, CommandError> {
    // With the bucket digests of an empty list, the process sends all of its records.
    let empty = SyncMembers {
        buckets: vec![0; BUCKETS],
        members: Vec::new(),
    };
    let request = ControlMessage::new(ControlBody::SyncMembers(empty));
    let response = call_control(args.address, key, request).await;
    let Some(ControlBody::Members(gossip)) = response.context(ControlSnafu)?.body else {
        return Ok("the process sent no members; ask a balancer, or retry later\n".into());
    };
    let mut records = decode_records(gossip.members);
    records.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(records.iter().map(describe_member).collect())
}

fn describe_member(record: &MemberRecord) -> CompactString {
    let state = match record.state {
        MemberState::Cold => "cold",
        MemberState::Warm => "warm",
        MemberState::Draining => "draining",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    };
    let name = OneLine(&record.name);
    let centre = OneLine(&record.data_centre);
    let address = record.address;
    match record.role {
        MemberRole::Balancer => {
            format_compact!("balancer {name} {centre} {address} {state}\n")
        }
        MemberRole::Agent => {
            let warmup_level = u32::from(record.warmup_level) * 100 / FULL_WARMUP_LEVEL;
            let slots = record.slots;
            format_compact!(
                "agent {name} {centre} {address} {state} slots={slots} warmth={warmup_level}%\n"
            )
        }
    }
}
