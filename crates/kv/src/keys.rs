//! Keys of ibisshift in the key-value service.

/// Key prefix of the service documents.
pub const SERVICES: &str = "/ibisshift/services/";

/// Key prefix of the list of instances.
pub const INSTANCES: &str = "/ibisshift/instances/";

/// The key of a service's document.
pub fn service(name: &str) -> String {
    format!("{SERVICES}{name}")
}

/// The exclusive end of the range of all keys with a prefix; a single zero byte, which the protocol
/// takes as no end, if no greater key exists.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
