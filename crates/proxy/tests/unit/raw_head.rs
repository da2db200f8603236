//! Unit tests of `downstream::raw_head`.
use super::*;

// A head of which only the end was seen may hide the other length in its start.
#[test]
fn a_body_framed_in_two_ways_is_distinguished_from_a_chunked_one() {
    let headers: HeaderMap = [("host", "s"), ("transfer-encoding", "chunked")]
        .into_iter()
        .map(|(name, value)| (name.parse().expect("a name"), value.parse().expect("a value")))
        .collect();
    let conflicts = |head: &str| has_conflicting_framing(head.as_bytes(), &headers);
    assert!(!conflicts(
        "\r\nPOST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 1"
    ));
    assert!(conflicts(
        "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\ncontent-LENGTH: 1\r\n\r\n"
    ));
    assert!(conflicts("POST / HTTP/1.1\nContent-Length: 1\nHost: s\nTransfer-Encoding: chunked\n\n"));
    assert!(conflicts("ost: s\r\nTransfer-Encoding: chunked\r\n\r\n"), "the start was not seen");
    assert!(!has_conflicting_framing(b"", &HeaderMap::new()));
}
