//! Conversions between protobuf messages and the types of crate `base`.

use base::Resources;

use crate::pb;

impl From<pb::Resources> for Resources {
    fn from(size: pb::Resources) -> Self {
        Self {
            cpu_milli: size.cpu_milli,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }
    }
}

impl From<Resources> for pb::Resources {
    fn from(size: Resources) -> Self {
        Self {
            cpu_milli: size.cpu_milli,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }
    }
}
