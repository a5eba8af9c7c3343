//! Detection of schema changes that break existing clients.

use std::fmt;

use base::Result;
use prost_reflect::MessageDescriptor;

use crate::method::decode_pool;

/// Change that breaks clients generated from the old schema, with the full name
/// of the method or field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakingChange {
    /// A method was removed.
    Removed(String),
    /// The request or response of a method is another message type.
    Retyped(String),
    /// The type or cardinality of a field changed under the same number.
    Field(String),
}

impl fmt::Display for BreakingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed(name) => write!(f, "{name}: the method was removed"),
            Self::Retyped(name) => write!(f, "{name}: the message type changed"),
            Self::Field(name) => write!(f, "{name}: the field's type or cardinality changed"),
        }
    }
}

/// Returns the changes from `old` to `new` that break clients of `old`. Both are
/// encoded file descriptor sets.
///
/// # Errors
/// Fails if either is not a valid descriptor set.
pub fn breaking_changes(old: &[u8], new: &[u8]) -> Result<Vec<BreakingChange>> {
    let old = decode_pool(old)?;
    let new = decode_pool(new)?;
    let mut changes = Vec::new();
    for method in old.services().flat_map(|service| service.methods().collect::<Vec<_>>()) {
        let name = method.full_name();
        let service = new.get_service_by_name(method.parent_service().full_name());
        let counterpart = service.and_then(|s| s.methods().find(|m| m.name() == method.name()));
        match counterpart {
            None => changes.push(BreakingChange::Removed(name.to_owned())),
            Some(counterpart)
                if counterpart.input().full_name() != method.input().full_name()
                    || counterpart.output().full_name() != method.output().full_name() =>
            {
                changes.push(BreakingChange::Retyped(name.to_owned()));
            }
            Some(_) => {}
        }
    }
    for message in old.all_messages() {
        if let Some(counterpart) = new.get_message_by_name(message.full_name()) {
            changes.extend(field_changes(&message, &counterpart));
        }
    }
    Ok(changes)
}

fn field_changes(old: &MessageDescriptor, new: &MessageDescriptor) -> Vec<BreakingChange> {
    let differs = |number, kind: &str, list| {
        new.get_field(number)
            .is_some_and(|other| format!("{:?}", other.kind()) != kind || other.is_list() != list)
    };
    old.fields()
        .filter(|field| differs(field.number(), &format!("{:?}", field.kind()), field.is_list()))
        .map(|field| BreakingChange::Field(field.full_name().to_owned()))
        .collect()
}
