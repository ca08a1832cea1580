//! Formatting of the times of edits.

use compact_str::{
    format_compact,
    CompactString, //
};

const MS_PER_DAY: u64 = 86_400_000;

/// Days from 0000-03-01 to 1970-01-01 in the Gregorian calendar. A year that starts in March ends
/// with its leap day, which makes the arithmetic regular.
const DAYS_BEFORE_EPOCH: u64 = 719_468;

/// Days in an era of 400 years, after which the Gregorian calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;

/// Formats milliseconds since the Unix epoch as an RFC 3339 time in UTC, to the second.
pub(super) fn utc_time(epoch_ms: u64) -> CompactString {
    let (year, month, day) = date_of(epoch_ms / MS_PER_DAY);
    let seconds = epoch_ms % MS_PER_DAY / 1_000;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format_compact!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since the Unix epoch to year, month and day.
fn date_of(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_BEFORE_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    // Leaves out the leap days of the era, so that each year counts 365 days.
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    // From March on, five months always have 153 days.
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
