//! One version of the configuration: both tables and the numbers of their names.

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

/// A name and the number that stands for it in packets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedId<I> {
    /// The name.
    pub name: CompactString,
    /// Its number.
    pub id: I,
}

/// One accepted edit of the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Number of the version; grows by one with each edit.
    pub number: u32,
    /// Random identity of the edit, by which its author recognises it after a lost answer.
    pub edit_id: CompactString,
    /// Who made the edit.
    pub author: CompactString,
    /// Why the edit was made.
    pub comment: CompactString,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
    /// The table of routes.
    pub routes: RouteTable,
    /// The table of pools.
    pub pools: PoolTable,
    /// Numbers of services, also of those that no table names any more.
    pub services: Vec<NamedId<ServiceId>>,
    /// Numbers of data centres, also of those that no table names any more.
    pub centres: Vec<NamedId<CentreId>>,
}

impl ConfigVersion {
    /// Builds the successor of `self` from edited tables, keeping all numbers given so far.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Faulty`] if the tables are wrong, and
    /// [`TableError::NumbersExhausted`] if a new name gets no number.
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
            assign(&mut services, &pool.service, limit, |id| {
                ServiceId(id as u16)
            })?;
        }
        let mut centres = self.centres.clone();
        for centre in &pools.data_centres {
            let limit = u32::from(u8::MAX);
            assign(&mut centres, &centre.name, limit, |id| CentreId(id as u8))?;
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

    /// Returns the number of the service `name`.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        find_id(&self.services, name)
    }

    /// Returns the name of a service.
    pub fn service_name(&self, id: ServiceId) -> Option<&CompactString> {
        let found = self.services.iter().find(|named| named.id == id);
        found.map(|named| &named.name)
    }

    /// Returns the number of the data centre `name`.
    pub fn centre_id(&self, name: &str) -> Option<CentreId> {
        find_id(&self.centres, name)
    }

    /// Returns whether operators have taken the data centre out.
    pub fn is_out(&self, id: CentreId) -> bool {
        let found = self.centres.iter().find(|named| named.id == id);
        found.is_some_and(|named| self.pools.is_out(&named.name))
    }
}

fn find_id<I: Copy>(names: &[NamedId<I>], name: &str) -> Option<I> {
    names
        .iter()
        .find(|named| named.name == name)
        .map(|named| named.id)
}

/// Gives `name` the next number, unless it has one; numbers start at 1.
fn assign<I>(
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
