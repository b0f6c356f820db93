//! Memory used by this process, as the kernel counts it.

/// Path of the kernel's figures on this process.
const STATUS_FILE: &str = "/proc/self/status";

/// Resident memory of this process, in kB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResidentMemory {
    /// Resident memory now.
    pub current_kb: u64,
    /// Highest resident memory since the start of the process.
    pub peak_kb: u64,
}

impl ResidentMemory {
    /// Reads the figures of this process. Returns `None` if the kernel does not provide them.
    pub fn read() -> Option<Self> {
        Self::parse(&std::fs::read_to_string(STATUS_FILE).ok()?)
    }

    fn parse(status: &str) -> Option<Self> {
        Some(Self {
            current_kb: field_kb(status, "VmRSS:")?,
            peak_kb: field_kb(status, "VmHWM:")?,
        })
    }
}

fn field_kb(status: &str, name: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.split_ascii_whitespace().next()?.parse().ok()
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
