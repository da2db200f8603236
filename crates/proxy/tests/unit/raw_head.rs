//! Unit tests of `downstream::raw_head`.
use super::*;

// A head whose start is missing counts as conflicting: the missing part may have contained a Content-Length.
#[test]
fn a_body_framed_in_two_ways_is_distinguished_from_a_chunked_body() {
    let headers: HeaderMap = [("host", "s"), ("transfer-encoding", "chunked")]
        .into_iter()
        .map(|(name, value)| {
            (name.parse().expect("valid header name"), value.parse().expect("valid header value"))
        })
        .collect();
    let conflicts = |head: &str| has_conflicting_framing(head.as_bytes(), &headers);
    assert!(!conflicts(
        "\r\nPOST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 1"
    ));
    assert!(conflicts(
        "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\ncontent-LENGTH: 1\r\n\r\n"
    ));
    assert!(conflicts("POST / HTTP/1.1\nContent-Length: 1\nHost: s\nTransfer-Encoding: chunked\n\n"));
    assert!(conflicts("ost: s\r\nTransfer-Encoding: chunked\r\n\r\n"), "the start of the head is missing");
    assert!(!has_conflicting_framing(b"", &HeaderMap::new()));
}
