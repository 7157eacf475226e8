use std::time::Duration;

use reqwest::Client;
use types::{Peer, StepError};

use crate::{CounterReport, MetricsPlan};

const PAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the Prometheus counters that a plan names.
#[derive(Debug)]
pub(crate) struct CounterReader {
    client: Client,
    plan: MetricsPlan,
}

impl CounterReader {
    pub(crate) fn new(plan: MetricsPlan) -> Result<Self, StepError> {
        let client = Client::builder()
            .no_proxy()
            .timeout(PAGE_TIMEOUT)
            .build()
            .map_err(|e| StepError::new("building the counter reader", Peer::Local, e))?;
        Ok(Self { client, plan })
    }

    /// Returns the sum of every counter over all pages, in the order of the plan.
    pub(crate) async fn read(&self) -> Result<Vec<f64>, StepError> {
        let pages = self.plan.urls.iter().map(|url| self.fetch_page(url));
        let pages = futures::future::try_join_all(pages).await?;
        let sum = |name: &String| pages.iter().map(|page| sum_series(page, name)).sum();
        Ok(self.plan.counters.iter().map(sum).collect())
    }

    /// Returns the growth of every counter between two readings.
    pub(crate) fn growth(&self, before: &[f64], after: &[f64]) -> Vec<CounterReport> {
        let names = self.plan.counters.iter().cloned();
        let growths = after.iter().zip(before).map(|(after, before)| after - before);
        names.zip(growths).map(|(name, growth)| CounterReport { name, growth }).collect()
    }

    async fn fetch_page(&self, url: &str) -> Result<String, StepError> {
        let error = |e| StepError::new("reading counters", Peer::Named(url.to_owned()), e);
        let req = self.client.get(url);
        let req = match &self.plan.token {
            Some(token) => req.bearer_auth(token),
            None => req,
        };
        let resp = req.send().await.and_then(reqwest::Response::error_for_status);
        resp.map_err(error)?.text().await.map_err(error)
    }
}

/// Sums the series of a counter in a page of the Prometheus text format.
fn sum_series(page: &str, name: &str) -> f64 {
    let is_counter = |series: &str| {
        series == name || series.strip_prefix(name).is_some_and(|rest| rest.starts_with('{'))
    };
    page.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.rsplit_once(' '))
        .filter(|(series, _)| is_counter(series))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}
