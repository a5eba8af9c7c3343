//! The operators' configuration.

use std::collections::BTreeMap;

use base::{Failure, Name, Resources, Result};
use place::Policy;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use wire::pb;

use crate::keyring::Digest;

/// Maximum size of an encoded configuration. A value of the platform's key-value
/// service holds up to a megabyte.
const MAX_ENCODED_BYTES: usize = 900 << 10;

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobKind {
    /// Each task runs until the job is cancelled.
    Service,
    /// Each task runs to its end.
    Batch,
    /// Each task runs to its end; all tasks start together.
    Gang,
}

impl TryFrom<pb::JobKind> for JobKind {
    type Error = Failure;

    fn try_from(kind: pb::JobKind) -> Result<Self> {
        match kind {
            pb::JobKind::Service => Ok(Self::Service),
            pb::JobKind::Batch => Ok(Self::Batch),
            pb::JobKind::Gang => Ok(Self::Gang),
            pb::JobKind::Unspecified => {
                Err(Failure::invalid("kind: must be service, batch or gang"))
            }
        }
    }
}

impl From<JobKind> for pb::JobKind {
    fn from(kind: JobKind) -> Self {
        match kind {
            JobKind::Service => Self::Service,
            JobKind::Batch => Self::Batch,
            JobKind::Gang => Self::Gang,
        }
    }
}

/// Group of job submitters with its share, limits and home region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Weight of the team in the fair sharing of a full cell.
    pub share: u32,
    /// Upper limit on the resources that the team uses in all regions together.
    pub limit: Resources,
    /// Maximum number of the team's calls in flight at one instance.
    pub calls: u32,
    /// Region of jobs that don't specify one.
    pub home_region: Name,
}

/// Record of a granted key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Team that owns the key; `None` for an operator's key.
    pub team: Option<Name>,
    /// Keyed digest of the key.
    pub digest: Digest,
}

/// One version of the configuration that operators control.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version number, one higher after each change.
    pub version: u64,
    /// Random number, so that two operators never write the same value.
    pub nonce: u64,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Keys by label.
    pub keys: BTreeMap<Name, Key>,
    /// Placement policies by job kind.
    pub policies: BTreeMap<JobKind, Policy>,
    /// Encoded descriptor sets by schema name.
    pub schemas: BTreeMap<Name, ByteBuf>,
}

impl Config {
    /// Returns the placement policy of a job kind: the configured one, or spread
    /// for services and pack for all other kinds.
    pub fn policy(&self, kind: JobKind) -> Policy {
        let default = match kind {
            JobKind::Service => Policy::Spread,
            JobKind::Batch | JobKind::Gang => Policy::Pack,
        };
        self.policies.get(&kind).copied().unwrap_or(default)
    }

    /// Encodes the configuration as CBOR.
    ///
    /// # Errors
    /// Fails if the result is too large for one value of the platform's key-value
    /// service.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("a configuration can be encoded");
        if out.len() > MAX_ENCODED_BYTES {
            return Err(Failure::invalid(format!(
                "the configuration would take {} bytes; the most is {MAX_ENCODED_BYTES}",
                out.len()
            )));
        }
        Ok(out)
    }

    /// Decodes a configuration from CBOR.
    ///
    /// # Errors
    /// Fails if `bytes` are not exactly one encoded configuration.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let mut rest = bytes;
        let config = ciborium::from_reader(&mut rest)
            .map_err(|error| Failure::invalid(format!("configuration: {error}")))?;
        if rest.is_empty() {
            Ok(config)
        } else {
            Err(Failure::invalid("configuration: bytes left over"))
        }
    }
}

impl From<&Config> for pb::Configuration {
    fn from(config: &Config) -> Self {
        let team = |(name, team): (&Name, &Team)| pb::PutTeam {
            name: name.to_string(),
            share: team.share,
            limit: Some(team.limit.into()),
            calls: team.calls,
            home_region: team.home_region.to_string(),
        };
        let key = |(label, key): (&Name, &Key)| pb::KeyName {
            label: label.to_string(),
            team: key.team.as_deref().unwrap_or_default().to_owned(),
        };
        let policy = |(kind, policy): (&JobKind, &Policy)| pb::PutPolicy {
            kind: pb::JobKind::from(*kind).into(),
            placement: match policy {
                Policy::Spread => pb::Placement::Spread.into(),
                Policy::Pack | Policy::FirstFit => pb::Placement::Pack.into(),
            },
        };
        Self {
            version: config.version,
            teams: config.teams.iter().map(team).collect(),
            keys: config.keys.iter().map(key).collect(),
            policies: config.policies.iter().map(policy).collect(),
            schemas: config.schemas.keys().map(Name::to_string).collect(),
        }
    }
}
