use std::net::IpAddr;

use reqwest::Url;

/// Returns whether a URL has the scheme `http` and a loopback address as its host. Host names
/// are not resolved, so that `localhost` is not accepted.
pub(crate) fn is_loopback(url: &str) -> bool {
    Url::parse(url).is_ok_and(|url| {
        let host = url.host_str().unwrap_or_default().trim_matches(['[', ']']);
        url.scheme() == "http" && host.parse::<IpAddr>().is_ok_and(|ip| ip.is_loopback())
    })
}
