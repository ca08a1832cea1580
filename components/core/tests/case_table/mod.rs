//! Tables of named test cases.

/// Declares an rstest function with one named case per row.
#[macro_export]
macro_rules! case_table {
    (
        $(#[$doc:meta])*
        fn $test:ident($($arg:ident: $kind:ty),* $(,)?) $body:block
        $($name:ident: ($($value:expr),* $(,)?),)*
    ) => {
        $(#[$doc])*
        #[rstest::rstest]
        $(#[case::$name($($value),*)])*
        fn $test($(#[case] $arg: $kind),*) $body
    };
}
