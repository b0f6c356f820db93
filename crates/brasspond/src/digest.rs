//! `brasspond digest`: prints the digest of a token, for a Caller resource.

use crate::exit::Outcome;

/// Reads a token from the first line of standard input and prints its digest.
pub(crate) fn run() -> Outcome {
    let mut token = String::new();
    if let Err(error) = std::io::stdin().read_line(&mut token) {
        eprintln!("the token cannot be read: {error}");
        return Outcome::Failed;
    }
    let token = token.trim();
    if token.is_empty() {
        eprintln!("an empty token is not allowed; give one on standard input");
        return Outcome::Usage;
    }
    println!("{}", blake3::hash(token.as_bytes()).to_hex());
    Outcome::Success
}
