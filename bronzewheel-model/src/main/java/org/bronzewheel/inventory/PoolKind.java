package org.bronzewheel.inventory;

/** The kind of upstreams in a pool; determines the protocol used to call them. */
public enum PoolKind {
    /** A model engine: completions with streaming, priorities, cancel, orders and cache events. */
    MODEL_ENGINE,
    /** An encoder. */
    ENCODER,
    /** A retriever. */
    RETRIEVER,
    /** A reranker. */
    RERANKER,
    /** A plain service, for example a booking application. */
    PLAIN_SERVICE
}
