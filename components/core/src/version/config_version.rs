//! One version of the configuration: both tables, and the numbers assigned to names.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::ensure;

use super::{
    check_tables,
    table_fault::{
        FaultySnafu,
        NumbersExhaustedSnafu, //
    },
    CentreId,
    PoolTable,
    RouteTable,
    ServiceId,
    TableError, //
};

/// A name and the number that represents it in packets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedId<I> {
    /// Name of a service or of a data centre.
    pub name: CompactString,
    /// Number of the name, which never changes.
    pub id: I,
}

/// One version of the configuration, made by an accepted edit of the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Number of the version, which each edit increments. The first edit makes version 1.
    pub number: u32,
    /// Random ID of the edit, by which its author recognises it if the response was lost.
    pub edit_id: CompactString,
    /// Author of the edit, by default the name of the user who made it.
    pub author: CompactString,
    /// Reason for the edit, as given by its author.
    pub comment: CompactString,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
    /// Routes in this version.
    pub routes: RouteTable,
    /// Pools and data centres in this version.
    pub pools: PoolTable,
    /// Numbers of services, including those that are no longer in the tables.
    pub services: Vec<NamedId<ServiceId>>,
    /// Numbers of data centres, including those that are no longer in the tables.
    pub centres: Vec<NamedId<CentreId>>,
}

impl ConfigVersion {
    /// Builds the next version from edited tables, keeping all numbers assigned so far.
    ///
    /// The fields that describe the edit are left at their defaults.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Faulty`] if the tables have faults, and
    /// [`TableError::NumbersExhausted`] if no number is left for a new name.
    pub fn successor(
        &self,
        routes: RouteTable,
        pools: PoolTable,
    ) -> Result<ConfigVersion, TableError> {
        let faults = check_tables(&routes, &pools);
        ensure!(faults.is_empty(), FaultySnafu { faults });
        let mut services = self.services.clone();
        for pool in &pools.pools {
            let limit = u32::from(u16::MAX);
            assign_id(&mut services, &pool.service, limit, |id| {
                ServiceId(id as u16)
            })?;
        }
        let mut centres = self.centres.clone();
        for centre in &pools.data_centres {
            let limit = u32::from(u8::MAX);
            assign_id(&mut centres, &centre.name, limit, |id| CentreId(id as u8))?;
        }
        Ok(ConfigVersion {
            number: self.number + 1,
            routes,
            pools,
            services,
            centres,
            ..ConfigVersion::default()
        })
    }

    /// Returns the number of the service `name`, or `None` if no version so far has had it.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        find_id(&self.services, name)
    }

    /// Returns the name of a service, or `None` if the number isn't assigned.
    pub fn service_name(&self, id: ServiceId) -> Option<&CompactString> {
        let found = self.services.iter().find(|named| named.id == id);
        found.map(|named| &named.name)
    }

    /// Returns the number of the data centre `name`, or `None` if no version so far has had it.
    pub fn centre_id(&self, name: &str) -> Option<CentreId> {
        find_id(&self.centres, name)
    }

    /// Returns whether operators have evacuated the data centre.
    pub fn is_evacuated(&self, id: CentreId) -> bool {
        let found = self.centres.iter().find(|named| named.id == id);
        found.is_some_and(|named| self.pools.is_evacuated(&named.name))
    }
}

fn find_id<I: Copy>(names: &[NamedId<I>], name: &str) -> Option<I> {
    names
        .iter()
        .find(|named| named.name == name)
        .map(|named| named.id)
}

/// Assigns the next number to `name`, unless it has one; numbers start at 1.
fn assign_id<I>(
    names: &mut Vec<NamedId<I>>,
    name: &CompactString,
    limit: u32,
    id_of: impl Fn(u32) -> I,
) -> Result<(), TableError> {
    if names.iter().any(|named| named.name == *name) {
        return Ok(());
    }
    let next = names.len() as u32 + 1;
    ensure!(
        next <= limit,
        NumbersExhaustedSnafu {
            name: name.clone(),
            limit
        }
    );
    names.push(NamedId {
        name: name.clone(),
        id: id_of(next),
    });
    Ok(())
}
