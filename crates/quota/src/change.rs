//! Changes to the configuration.

use base::{Failure, Name, Resources, Result};
use place::Policy;
use serde_bytes::ByteBuf;
use wire::pb::{self, change_request::Change as PbChange};

use crate::{
    config::{Config, JobKind, Key, Team},
    keyring::Digester,
};

/// Maximum length of a name or label.
const MAX_NAME_BYTES: usize = 64;

/// Text of the key that a change has granted, if any. It is returned to the
/// operator once and never stored.
pub type GrantedKey = Option<String>;

/// Validated change request of an operator.
#[derive(Clone, Debug)]
pub enum Change {
    /// Create or replace a team.
    PutTeam(Name, Team),
    /// Remove a team and its keys.
    RemoveTeam(Name),
    /// Grant a key under a label to a team, or to an operator if the team is `None`.
    GrantKey(Name, Option<Name>),
    /// Withdraw the key with a label.
    WithdrawKey(Name),
    /// Set the placement policy of a job kind.
    PutPolicy(JobKind, Policy),
    /// Create or replace a schema.
    PutSchema(Name, Vec<u8>),
}

impl TryFrom<PbChange> for Change {
    type Error = Failure;

    fn try_from(request: PbChange) -> Result<Self> {
        match request {
            PbChange::PutTeam(put) => Ok(Self::PutTeam(
                parse_name("put_team.name", &put.name)?,
                Team {
                    share: put.share.max(1),
                    limit: put.limit.map_or(Resources::MAX, Resources::from),
                    calls: put.calls,
                    home_region: parse_name("put_team.home_region", &put.home_region)?,
                },
            )),
            PbChange::RemoveTeam(remove) => {
                Ok(Self::RemoveTeam(parse_name("remove_team.name", &remove.name)?))
            }
            PbChange::GrantKey(grant) => {
                let team = match grant.team.as_str() {
                    "" => None,
                    name => Some(parse_name("grant_key.team", name)?),
                };
                Ok(Self::GrantKey(parse_name("grant_key.label", &grant.label)?, team))
            }
            PbChange::WithdrawKey(withdraw) => {
                Ok(Self::WithdrawKey(parse_name("withdraw_key.label", &withdraw.label)?))
            }
            PbChange::PutPolicy(put) => {
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
            PbChange::PutSchema(put) => {
                schema::parse(&put.descriptors)?;
                let name = parse_name("put_schema.name", &put.name)?;
                Ok(Self::PutSchema(name, put.descriptors.into()))
            }
        }
    }
}

impl Change {
    /// Applies the change to `config`. Returns the next version of the
    /// configuration and the text of the key that was granted, if any.
    ///
    /// # Errors
    /// Fails if the change refers to an unknown team or key, if the label of a new
    /// key is in use, or if a new schema breaks callers or defines a method of
    /// another schema.
    pub fn apply(&self, config: &Config, digester: &Digester) -> Result<(Config, GrantedKey)> {
        let mut next = config.clone();
        next.version += 1;
        next.nonce = getrandom::u64().expect("the system provides random bytes");
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
    // A method in two schemas would make routing ambiguous.
    let methods = schema::parse(bytes)?;
    for (other, bytes) in next.schemas.iter().filter(|(other, _)| *other != name) {
        let others = schema::parse(bytes)?;
        if let Some(duplicate) = methods.iter().find(|m| others.iter().any(|t| t.path == m.path)) {
            return Err(Failure::invalid(format!(
                "{} is in schema `{other}` already",
                duplicate.path
            )));
        }
    }
    next.schemas.insert(name.clone(), ByteBuf::from(bytes));
    Ok(())
}

fn parse_name(field: &str, text: &str) -> Result<Name> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
        return Err(Failure::invalid(format!(
            "{field}: must be 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"
        )));
    }
    Ok(text.into())
}
