//! The original functions of the C library, which this library interposes.
use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// An original function of the C library. Its address is looked up when the function is first used.
pub(crate) struct OriginalFunction {
    name: &'static CStr,
    address: AtomicUsize,
}

impl OriginalFunction {
    pub(crate) const fn new(name: &'static CStr) -> OriginalFunction {
        OriginalFunction { name, address: AtomicUsize::new(0) }
    }

    /// Returns the address of the original function. Aborts the process if no library that is loaded after
    /// this one defines the function.
    pub(crate) fn address(&self) -> *const () {
        let known = self.address.load(Ordering::Relaxed);
        if known != 0 {
            return known as *const ();
        }
        // SAFETY: the name is a valid C string with a static lifetime.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            // Without the original function, the interposed function cannot work.
            std::process::abort();
        }
        self.address.store(found as usize, Ordering::Relaxed);
        found as *const ()
    }
}

/// Returns the original function of the C library with this name and type.
macro_rules! original {
    ($name:ident: fn($($argument:ty),*) -> $result:ty) => {{
        static ORIGINAL: $crate::original::OriginalFunction =
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => $crate::original::OriginalFunction::new(name),
                Err(_) => panic!("a function name must not contain a zero byte"),
            };
        // SAFETY: the address is that of the C library function with this name, and the type is the one that
        // the `libc` crate declares for it.
        unsafe {
            std::mem::transmute::<*const (), unsafe extern "C" fn($($argument),*) -> $result>(ORIGINAL.address())
        }
    }};
}
pub(crate) use original;
