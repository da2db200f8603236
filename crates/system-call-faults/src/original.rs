//! The C library's own functions, behind those of this library.
use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The address of one function, found at its first use.
pub(crate) struct Original {
    name: &'static CStr,
    address: AtomicUsize,
}

impl Original {
    pub(crate) const fn new(name: &'static CStr) -> Original {
        Original { name, address: AtomicUsize::new(0) }
    }

    /// The address that the dynamic linker finds after this library.
    pub(crate) fn address(&self) -> *const () {
        let known = self.address.load(Ordering::Relaxed);
        if known != 0 {
            return known as *const ();
        }
        // SAFETY: the name is a C string that lives as long as the program.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            // Nothing can be called in its place.
            std::process::abort();
        }
        self.address.store(found as usize, Ordering::Relaxed);
        found as *const ()
    }
}

/// The C library's function of a name and type.
macro_rules! original {
    ($name:ident: fn($($argument:ty),*) -> $result:ty) => {{
        static ORIGINAL: $crate::original::Original =
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => $crate::original::Original::new(name),
                Err(_) => panic!("a name holds no zero byte"),
            };
        // SAFETY: the address is that of the C library's function of this name, and the type is the one that the
        // `libc` crate declares for it.
        unsafe {
            std::mem::transmute::<*const (), unsafe extern "C" fn($($argument),*) -> $result>(ORIGINAL.address())
        }
    }};
}
pub(crate) use original;
