//! Methods of a schema and the terms on which they are served.

use std::{panic, time::Duration};

use base::{Failure, Name, Result};
use prost::Message;
use prost_reflect::{DescriptorPool, MethodDescriptor, Value};
use wire::pb;

/// Timeout of calls for which the schema sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest timeout that a schema may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Size limit of answers for which the schema sets none, in bytes.
const DEFAULT_MAX_ANSWER_BYTES: u32 = 4 << 20;

/// Prefix of the packages that are reserved for the scheduler's own services.
const RESERVED_PACKAGE: &str = "skylarkspan.";

/// How soon a call or a task has to start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A person waits for the result.
    Urgent,
    /// Work that can wait for a short time.
    #[default]
    Normal,
    /// Work that can wait for hours.
    Batch,
}

impl Urgency {
    /// All urgencies, from the most to the least urgent.
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

/// Who may call a method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Callers that present a key of a team.
    Keyed,
    /// Everyone.
    Open,
}

/// Method that callers can call, and its terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Method {
    /// Request path, `/package.Service/Method`.
    pub path: Name,
    /// Full name of the service.
    pub service: Name,
    /// Whether running a call twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// How soon a call has to start.
    pub urgency: Urgency,
    /// Longest time from the arrival of a call to its answer.
    pub timeout: Duration,
    /// Size limit of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Who may call the method.
    pub access: Access,
}

/// Returns the methods of an encoded file descriptor set.
///
/// # Errors
/// Fails if the bytes are not a valid descriptor set, if there are no methods,
/// or if a method is streaming, has terms out of range or is in a reserved
/// package.
pub fn parse(bytes: &[u8]) -> Result<Vec<Method>> {
    let pool = decode_pool(bytes)?;
    let mut methods = Vec::new();
    for service in pool.services() {
        // A descriptor set contains its imports, possibly files of the
        // scheduler itself, whose services must not be callable this way.
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

pub(crate) fn decode_pool(bytes: &[u8]) -> Result<DescriptorPool> {
    // For some malformed sets the library panics while it formats its error.
    let pool = panic::catch_unwind(|| DescriptorPool::decode(bytes))
        .map_err(|_| Failure::invalid("descriptors: the set is malformed"))?;
    pool.map_err(|error| Failure::invalid(format!("descriptors: {error}")))
}

fn read_method(method: &MethodDescriptor) -> Result<Method> {
    let full_name = method.full_name();
    let invalid = |what: &str| Failure::invalid(format!("{full_name}: {what}"));
    if method.is_client_streaming() || method.is_server_streaming() {
        return Err(invalid("streaming methods are not served"));
    }
    let terms = read_terms(method).map_err(|what| invalid(&what))?;
    let timeout = match terms.timeout_ms {
        0 => DEFAULT_TIMEOUT,
        ms => Duration::from_millis(u64::from(ms)),
    };
    if timeout > MAX_TIMEOUT {
        return Err(invalid("terms.timeout_ms is over 3600000"));
    }
    let max_answer_bytes = match terms.largest_answer_bytes {
        0 => DEFAULT_MAX_ANSWER_BYTES,
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

/// Returns whether the standard `idempotency_level` option marks the method as
/// idempotent; `false` without the option.
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
