//! Changes of the configuration.

use base::{Failure, Name, Resources, Result};
use place::Policy;
use serde_bytes::ByteBuf;
use wire::pb::{self, change_request::Change as Wanted};

use crate::{
    config::{Config, JobKind, Key, Team},
    keyring::Digester,
};

/// Longest name or label, in bytes.
const LONGEST_NAME: usize = 64;

/// A `Granted` is the text of a key that a change granted; it is shown once
/// and kept nowhere.
pub type Granted = Option<String>;

/// A `Change` is one checked wish of an operator.
#[derive(Clone, Debug)]
pub enum Change {
    /// Create a team or change its rights.
    PutTeam(Name, Team),
    /// Remove a team and its keys.
    RemoveTeam(Name),
    /// Grant a key under a label to a team or, without one, to an operator.
    GrantKey(Name, Option<Name>),
    /// Withdraw the key with a label.
    WithdrawKey(Name),
    /// Choose how the tasks of a job kind are placed.
    PutPolicy(JobKind, Policy),
    /// Create or replace a schema.
    PutSchema(Name, Vec<u8>),
}

impl TryFrom<Wanted> for Change {
    type Error = Failure;

    fn try_from(wanted: Wanted) -> Result<Self> {
        match wanted {
            Wanted::PutTeam(put) => Ok(Self::PutTeam(
                read_name("put_team.name", &put.name)?,
                Team {
                    share: put.share.max(1),
                    limit: put.limit.map_or(Resources::MAX, Resources::from),
                    calls: put.calls,
                    home_region: read_name("put_team.home_region", &put.home_region)?,
                },
            )),
            Wanted::RemoveTeam(remove) => {
                Ok(Self::RemoveTeam(read_name("remove_team.name", &remove.name)?))
            }
            Wanted::GrantKey(grant) => {
                let team = match grant.team.as_str() {
                    "" => None,
                    name => Some(read_name("grant_key.team", name)?),
                };
                Ok(Self::GrantKey(read_name("grant_key.label", &grant.label)?, team))
            }
            Wanted::WithdrawKey(withdraw) => {
                Ok(Self::WithdrawKey(read_name("withdraw_key.label", &withdraw.label)?))
            }
            Wanted::PutPolicy(put) => {
                let policy = match put.placement() {
                    pb::Placement::Pack => Policy::Pack,
                    pb::Placement::Spread => Policy::Spread,
                    pb::Placement::Unspecified => {
                        return Err(Failure::invalid(
                            "put_policy.placement: must be pack or spread",
                        ));
                    }
                };
                Ok(Self::PutPolicy(put.kind().try_into()?, policy))
            }
            Wanted::PutSchema(put) => {
                schema::parse(&put.descriptors)?;
                let name = read_name("put_schema.name", &put.name)?;
                Ok(Self::PutSchema(name, put.descriptors.into()))
            }
        }
    }
}

impl Change {
    /// Makes the next version of `config`; gets it with the key that was
    /// granted, if any.
    ///
    /// # Errors
    /// Fails if the change names something unknown or breaks what callers use.
    pub fn apply(&self, config: &Config, digester: &Digester) -> Result<(Config, Granted)> {
        let mut next = config.clone();
        next.version += 1;
        next.nonce = getrandom::u64().expect("the system has random bytes");
        let mut granted = None;
        match self {
            Self::PutTeam(name, team) => {
                next.teams.insert(name.clone(), team.clone());
            }
            Self::RemoveTeam(name) => {
                if next.teams.remove(name).is_none() {
                    return Err(Failure::not_found(format!("no team `{name}`")));
                }
                next.keys.retain(|_, key| key.team.as_ref() != Some(name));
            }
            Self::GrantKey(label, team) => {
                if next.keys.contains_key(label) {
                    return Err(Failure::conflict(format!("there is a key `{label}` already")));
                }
                if let Some(team) = team
                    && !next.teams.contains_key(team)
                {
                    return Err(Failure::not_found(format!("no team `{team}`")));
                }
                let text = Digester::new_key();
                let digest = digester.digest(&text);
                next.keys.insert(label.clone(), Key { team: team.clone(), digest });
                granted = Some(text);
            }
            Self::WithdrawKey(label) => {
                if next.keys.remove(label).is_none() {
                    return Err(Failure::not_found(format!("no key `{label}`")));
                }
            }
            Self::PutPolicy(kind, policy) => {
                next.policies.insert(*kind, *policy);
            }
            Self::PutSchema(name, bytes) => put_schema(&mut next, name, bytes)?,
        }
        Ok((next, granted))
    }
}

fn put_schema(next: &mut Config, name: &Name, bytes: &[u8]) -> Result<()> {
    if let Some(old) = next.schemas.get(name) {
        let breaks = schema::breaking_changes(old, bytes)?;
        if !breaks.is_empty() {
            let list: Vec<_> = breaks.iter().map(ToString::to_string).collect();
            return Err(Failure::invalid(format!("breaks callers: {}", list.join("; "))));
        }
    }
    // A method belongs to one schema, or routing would be ambiguous.
    let methods = schema::parse(bytes)?;
    for (other, bytes) in next.schemas.iter().filter(|(other, _)| *other != name) {
        let theirs = schema::parse(bytes)?;
        if let Some(twin) = methods.iter().find(|m| theirs.iter().any(|t| t.path == m.path)) {
            return Err(Failure::invalid(format!("{} is in schema `{other}` already", twin.path)));
        }
    }
    next.schemas.insert(name.clone(), ByteBuf::from(bytes));
    Ok(())
}

fn read_name(field: &str, text: &str) -> Result<Name> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > LONGEST_NAME || !text.chars().all(plain) {
        return Err(Failure::invalid(format!(
            "{field}: must be 1 to {LONGEST_NAME} letters, digits, `-`, `_` or `.`"
        )));
    }
    Ok(text.into())
}
