package org.bronzewheel.logging;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line of JSON. */
final class JsonLogFormatter extends Formatter {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final String vmId;

    JsonLogFormatter(String vmId) {
        this.vmId = vmId;
    }

    @Override
    public String format(LogRecord record) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        line.put("logger", record.getLoggerName());
        line.put("vmId", vmId);
        addIds(line, record);
        line.put("message", message(record));
        if (record.getThrown() != null) {
            line.put("error", stackTrace(record.getThrown()));
        }
        return line + "\n";
    }

    private static void addIds(ObjectNode line, LogRecord record) {
        if (!(record instanceof AbstractLogRecord flogged)) {
            return;
        }
        Metadata metadata = flogged.getLogData().getMetadata();
        String requestId = metadata.findValue(LogKeys.REQUEST_ID);
        String traceId = metadata.findValue(LogKeys.TRACE_ID);
        if (requestId != null) {
            line.put("requestId", requestId);
        }
        if (traceId != null) {
            line.put("traceId", traceId);
        }
    }

    private String message(LogRecord record) {
        if (record instanceof AbstractLogRecord flogged) {
            return BaseMessageFormatter.appendFormattedMessage(
                            flogged.getLogData(), new StringBuilder())
                    .toString();
        }
        return formatMessage(record);
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
