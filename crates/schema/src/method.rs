//! Methods of a schema and their terms.

use std::{panic, time::Duration};

use base::{Failure, Name, Result};
use prost::Message;
use prost_reflect::{DescriptorPool, MethodDescriptor, Value};
use wire::pb;

/// Time a call may take where the schema doesn't say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that a schema may give a call.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(3600);

/// Largest answer where the schema doesn't say, in bytes.
const DEFAULT_ANSWER_BYTES: u32 = 4 << 20;

/// Package whose services belong to the scheduler itself.
const RESERVED_PACKAGE: &str = "skylarkspan.";

/// An `Urgency` says how soon work has to start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A person is waiting.
    Urgent,
    /// Work that may wait a little.
    #[default]
    Normal,
    /// Work that may wait for hours.
    Batch,
}

impl Urgency {
    /// All urgencies, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];
}

impl From<pb::Urgency> for Urgency {
    fn from(urgency: pb::Urgency) -> Self {
        match urgency {
            pb::Urgency::Urgent => Self::Urgent,
            pb::Urgency::Normal | pb::Urgency::Unspecified => Self::Normal,
            pb::Urgency::Batch => Self::Batch,
        }
    }
}

/// An `Access` says who may make a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Callers with a key of a team.
    Keyed,
    /// Anyone.
    Open,
}

/// A `Method` is a call that callers can make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Method {
    /// Path of the request, `/package.Service/Method`.
    pub path: Name,
    /// Full name of the service.
    pub service: Name,
    /// Whether running the call twice is as good as once.
    pub is_idempotent: bool,
    /// How soon the call has to start.
    pub urgency: Urgency,
    /// Longest time from arrival to answer.
    pub timeout: Duration,
    /// Largest answer, in bytes.
    pub max_answer_bytes: usize,
    /// Who may make the call.
    pub access: Access,
}

/// Gets the methods of an encoded file descriptor set.
///
/// # Errors
/// Fails if the bytes are no descriptor set, if a method streams, has terms
/// out of range or lies in the scheduler's own package.
pub fn parse(bytes: &[u8]) -> Result<Vec<Method>> {
    let pool = pool_of(bytes)?;
    let mut methods = Vec::new();
    for service in pool.services() {
        // The scheduler's own descriptors come along as imports.
        if service.full_name().starts_with(RESERVED_PACKAGE) {
            return Err(Failure::invalid(format!(
                "{}: the package `skylarkspan` is reserved",
                service.full_name()
            )));
        }
        for method in service.methods() {
            methods.push(read_method(&method)?);
        }
    }
    if methods.is_empty() {
        return Err(Failure::invalid("descriptors: the schema has no methods"));
    }
    Ok(methods)
}

pub(crate) fn pool_of(bytes: &[u8]) -> Result<DescriptorPool> {
    // The library panics on some malformed sets while it words its error.
    let pool = panic::catch_unwind(|| DescriptorPool::decode(bytes))
        .map_err(|_| Failure::invalid("descriptors: the set is malformed"))?;
    pool.map_err(|error| Failure::invalid(format!("descriptors: {error}")))
}

fn read_method(method: &MethodDescriptor) -> Result<Method> {
    let full_name = method.full_name();
    let fault = |what: &str| Failure::invalid(format!("{full_name}: {what}"));
    if method.is_client_streaming() || method.is_server_streaming() {
        return Err(fault("streaming methods are not served"));
    }
    let terms = read_terms(method).map_err(|what| fault(&what))?;
    let timeout = match terms.timeout_ms {
        0 => DEFAULT_TIMEOUT,
        ms => Duration::from_millis(u64::from(ms)),
    };
    if timeout > LONGEST_TIMEOUT {
        return Err(fault("terms.timeout_ms is over 3600000"));
    }
    let max_answer_bytes = match terms.largest_answer_bytes {
        0 => DEFAULT_ANSWER_BYTES,
        bytes => bytes,
    };
    let access = match terms.access() {
        pb::Access::Open => Access::Open,
        pb::Access::Keyed | pb::Access::Unspecified => Access::Keyed,
    };
    let service = method.parent_service().full_name().to_owned();
    Ok(Method {
        path: format!("/{service}/{}", method.name()).into(),
        service: service.into(),
        is_idempotent: is_idempotent(method),
        urgency: terms.urgency().into(),
        timeout,
        max_answer_bytes: max_answer_bytes as usize,
        access,
    })
}

/// Tells whether the standard option marks the method as idempotent. Without
/// the option it is not.
fn is_idempotent(method: &MethodDescriptor) -> bool {
    let options = method.options();
    let level = options.get_field_by_name("idempotency_level");
    // NO_SIDE_EFFECTS is 1 and IDEMPOTENT is 2.
    level.is_some_and(|level| matches!(*level, Value::EnumNumber(1 | 2)))
}

fn read_terms(method: &MethodDescriptor) -> Result<pb::Terms, String> {
    let options = method.options();
    let Some(extension) = method
        .parent_pool()
        .get_message_by_name("google.protobuf.MethodOptions")
        .and_then(|message| message.get_extension(wire::TERMS_FIELD))
    else {
        return Ok(pb::Terms::default());
    };
    let value = options.get_extension(&extension);
    let Some(message) = value.as_message() else {
        return Err("terms is not a message".to_owned());
    };
    pb::Terms::decode(&*message.encode_to_vec()).map_err(|error| format!("terms: {error}"))
}
