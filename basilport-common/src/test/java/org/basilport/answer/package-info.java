/** Tests of the decoding of responses. */
package org.basilport.answer;
