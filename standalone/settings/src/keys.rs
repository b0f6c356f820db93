//! Key files of the protocol between nodes.

use std::path::Path;

/// Length of a key, in bytes.
pub const KEY_BYTES: usize = 32;

/// Reads a key from a file of 64 hexadecimal digits. White space around the digits is ignored.
///
/// # Errors
/// The file cannot be read or does not contain exactly 64 hexadecimal digits.
pub fn read_key(file: &Path) -> std::io::Result<[u8; KEY_BYTES]> {
    let text = std::fs::read_to_string(file)?;
    let digits = text.trim();
    let invalid =
        || std::io::Error::new(std::io::ErrorKind::InvalidData, "not 64 hexadecimal digits");
    if digits.len() != KEY_BYTES * 2 || !digits.is_ascii() {
        return Err(invalid());
    }
    let mut key = [0; KEY_BYTES];
    for (index, byte) in key.iter_mut().enumerate() {
        let pair = &digits[index * 2..index * 2 + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
    }
    Ok(key)
}
