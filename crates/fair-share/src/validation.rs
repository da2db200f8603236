//! The checks of a usage report that do not depend on the reports recorded before.
use crate::enrollment::{Enrollment, Reporter};
use crate::settings::LedgerSettings;
use crate::usage_report::{ReportRejection, UsageReport};

/// Checks the tenant, the interval and the work of a usage report from an enrolled reporter. In the returned
/// report, the name of the tenant shares its memory with the name in the enrollment.
pub(crate) fn validate_report(
    settings: &LedgerSettings,
    enrollment: &Enrollment,
    reporter: &Reporter,
    now_ms: i64,
    report: UsageReport,
) -> Result<UsageReport, ReportRejection> {
    let Some((tenant, federation)) = enrollment.tenants.get_key_value(&report.tenant) else {
        return Err(ReportRejection::UnknownTenant);
    };
    if reporter.federation.as_ref().is_some_and(|own| own != federation) {
        return Err(ReportRejection::ForeignTenant);
    }
    if report.end_ms <= report.start_ms {
        return Err(ReportRejection::EmptyInterval);
    }
    let length_ms = report.end_ms.checked_sub(report.start_ms).and_then(|length| u32::try_from(length).ok());
    let Some(length_ms) = length_ms.filter(|&length| length <= settings.max_interval_ms) else {
        return Err(ReportRejection::IntervalTooLong);
    };
    if report.end_ms > now_ms.saturating_add(settings.max_clock_skew_ms.into()) {
        return Err(ReportRejection::InFuture);
    }
    if report.work > u64::from(reporter.slots) * u64::from(length_ms) {
        return Err(ReportRejection::ExceedsCapacity);
    }
    Ok(UsageReport { tenant: tenant.clone(), ..report })
}
