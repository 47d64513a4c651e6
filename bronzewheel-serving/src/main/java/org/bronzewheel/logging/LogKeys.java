package org.bronzewheel.logging;

import com.google.common.flogger.MetadataKey;

/** The keys by which log lines carry ids. */
public final class LogKeys {
    /** The id of the request. */
    public static final MetadataKey<String> REQUEST_ID =
            MetadataKey.single("requestId", String.class);

    /** The id of the trace. */
    public static final MetadataKey<String> TRACE_ID = MetadataKey.single("traceId", String.class);

    private LogKeys() {}
}
