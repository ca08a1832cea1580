//! Macro for tests with named cases.

/// Defines a test that runs once for each named case, which lists its arguments.
macro_rules! named_cases {
    (
        $(#[$note:meta])*
        $test:ident($($arg:ident: $type:ty),*) {
            $($name:ident($($value:expr),*);)+
        }
        $body:block
    ) => {
        $(#[$note])*
        #[rstest::rstest]
        $(#[case::$name($($value),*)])+
        fn $test($(#[case] $arg: $type),*) $body
    };
}
