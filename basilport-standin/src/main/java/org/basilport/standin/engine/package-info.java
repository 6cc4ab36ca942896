/** In-memory stand-in of a model engine with continuous batching. */
package org.basilport.standin.engine;
