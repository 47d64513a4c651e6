package org.bronzewheel.logging;

import com.google.common.flogger.MetadataKey;

/** Metadata keys for the ids in log lines. */
public final class LogKeys {
    /** The id of the request. */
    public static final MetadataKey<String> REQUEST_ID =
            MetadataKey.single("requestId", String.class);

    /** The id of the trace. */
    public static final MetadataKey<String> TRACE_ID = MetadataKey.single("traceId", String.class);

    private LogKeys() {}
}
