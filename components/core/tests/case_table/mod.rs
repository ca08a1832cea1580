//! Macro for tests with a table of named cases.

/// Defines an rstest function that runs once for each named row of arguments.
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
